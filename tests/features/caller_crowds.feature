Feature: Crowds of callers in a row do not take a node over its VM's memory
  What one crowd leaves behind meets the next one: a process is tested by
  several crowds in a row, mixed of long and short bodies, whole and in chunks,
  of which most stop short of their end, some go on slowly and some are complete.

  # Guards against a process that the platform kills for its memory.
  Scenario Outline: crowds in a row leave a node with the <interface> interface within its VM
    Given nodes "p1" with the <interface> interface on VMs of 128 MB, and bodies of up to 24 MB
    When these crowds come to "p1" one after the other, drawn with <seed>
      | callers | bytes                       | chunks   |
      | 60      | 25000000                    | 0        |
      | 150     | 25000000 1000000 60000      | 0 20000  |
      | 60      | 25000000                    | 100000   |
      | 150     | 1000000 100000 60000        | 100 0    |
      | 6       | 25000000                    | 100000   |
    Then each node has stayed within its VM and has given back what they took

    Examples:
      | interface | seed |
      | own       | 1    |
      | platform  | 2    |

  # Guards against what a closed connection leaves in memory.
  Scenario: callers that are refused leave nothing behind
    Given nodes "p1" with the own interface on VMs of 128 MB, and bodies of up to 24 MB
    When these crowds come to "p1" one after the other, drawn with 5
      | callers | bytes    | chunks |
      | 60      | 30000000 | 0      |
      | 60      | 30000000 | 0      |
    Then each node has stayed within its VM and has given back what they took

  # Guards against bodies that a node holds, or copies, for a worker that hangs.
  Scenario: complete bodies from all doors leave the node of a hanging worker within its VM
    Given nodes "p1 d1 d2" with the own interface on VMs of 128 MB, and bodies of up to 24 MB
    And the worker beside "p1" has stopped answering
    When 100 callers each send bodies of 2000000 100000 20000 bytes to "d1 d2", drawn with 3
    And the callers have gone
    And the worker answers again
    Then each node has stayed within its VM and has given back what they took

  Scenario: a node that gets SIGTERM amid a crowd ends within its grace
    Given nodes "p1" with the own interface on VMs of 128 MB, and bodies of up to 24 MB
    When 150 callers each send bodies of 25000000 60000 bytes to "p1", drawn with 4
    Then "p1" ends within its grace once it gets SIGTERM

  # Guards against listeners beside the one for callers that have no limit.
  Scenario: bodies at the report address leave a node within its VM
    Given nodes "p1" with the platform interface on VMs of 128 MB, and bodies of up to 24 MB
    When 150 callers send 25000000 bytes to the report address of "p1"
    Then each node has stayed within its VM and has given back what they took
