Feature: What is malformed ends nothing
  Each way into a node takes real messages with odd values and broken bytes,
  and refuses what it can't read by an error of its own.

  # Guards against one message that ends a process or a task for good.
  Scenario Outline: malformed <what> are refused
    When 300 malformed <what> come, seeded
    Then none met an error that is not expected

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

  # Each seed once ended a task or the start of a node.
  Scenario Outline: malformed <what> that failed before: <why>
    When the malformed input <seed> of the <what> comes
    Then none met an error that is not expected

    Examples:
      | what                 | seed | why                                      |
      | frames of peers      | 28   | a kind of message that is no text        |
      | records of the store | 1    | a shard without a number                 |
      | manifests            | 157  | a time that is no number                 |
      | answers of workers   | 9412 | a chunk larger than any memory           |

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
