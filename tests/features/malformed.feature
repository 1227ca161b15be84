Feature: Malformed input does not stop a node
  Each input of a node gets valid messages with unusual values and corrupted
  bytes.  It rejects invalid messages with its own type of error.

  # Guards against a message that ends a process or a task permanently.
  Scenario Outline: malformed <what> are rejected
    When 300 malformed <what> arrive
    Then no unexpected error is raised

    Examples:
      | what                 |
      | frames of peers      |
      | records of the store |
      | answers of the store |
      | manifests            |
      | reports of workers   |
      | settings             |
      | answers of workers   |
      | heads of callers     |

  # Each of these seeds once ended a task or the start of a node.
  Scenario Outline: malformed <what> that failed before: <why>
    When the malformed input <seed> of the <what> arrives
    Then no unexpected error is raised

    Examples:
      | what                 | seed | why                                      |
      | frames of peers      | 28   | a kind of message that is not a string   |
      | records of the store | 1    | a shard without a number                 |
      | manifests            | 157  | a time that is not a number              |
      | answers of workers   | 9412 | a chunk larger than the memory           |

  Scenario Outline: an answer in the chunks <chunks> that ends there is <what>
    Given a worker that answers in the chunks "<chunks>" and closes
    When the answer to a request is read completely, up to 100 bytes
    Then the body is <what>

    Examples:
      | chunks           | what      |
      | 3;abc;0;;        | complete  |
      | 3;abc;0          | truncated |
      | 3;abc;           | truncated |
      | 3;abc;00000000   | truncated |
      | 3;abc;-1;;       | truncated |
      | +3;abc;0;;       | truncated |
      | 0x3;abc;0;;      | truncated |
      | 0_3;abc;0;;      | truncated |
