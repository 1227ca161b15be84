Feature: Fences of keys when a store comes back from an older copy
  Each life of a worker that takes a key has a fence above all under which other
  lives had it, also if the store has forgotten that the key ever had an owner.

  # Guards against a later life of a worker that gets keys under the fence of an
  # earlier one: the store had forgotten the shards, and they were created anew.
  Scenario: the store comes back twice while VMs are without power
    Given a store that names its era in each answer
    And 3 VMs with reporting workers of the sharded service "portal"
    When p3 is without power while the store comes back without any shards
    Then every worker holds keys within 20 s, and all keys are served
    When all are without power while the store comes back without any nodes
    Then every worker holds keys within 20 s, and all keys are served
    And no life of a worker took a key under a fence that is not new

  # Guards against fences that are given out again because the store names its
  # era only when it has come back, or not in each answer.
  Scenario Outline: the store names its era in <answers>
    Given a store that names its era in <answers>
    And 3 VMs with reporting workers of the sharded service "portal"
    When all are without power while the store comes back without any shards
    Then every worker holds keys within 20 s, and all keys are served
    And no life of a worker took a key under a fence that is not new

    Examples:
      | answers                       |
      | no answer before it came back |
      | four of five answers          |

  # Guards against a later life of a worker that gets keys under the fence of an
  # earlier one: its node was given the same incarnation once more.
  Scenario: the store forgets the last start of a VM that is without power
    Given a store that names its era in each answer
    And 3 VMs with reporting workers of the sharded service "portal"
    When p3 is without power for a moment
    Then every worker holds keys within 20 s, and all keys are served
    When p3 is without power while the store comes back from before that
    Then every worker holds keys within 20 s, and all keys are served
    And no life of a worker took a key under a fence that is not new
