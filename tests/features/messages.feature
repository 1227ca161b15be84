Feature: Messages between nodes
  Messages are decoded as they were encoded, and invalid ones are rejected.

  Scenario: encoding and decoding preserve every kind of message
    Then each kind of message is decoded as it was encoded
    And a body of 100000 bytes is encoded alike in a mapping and in the heap

  # Guards against links that break between nodes of two versions (issue 36).
  Scenario Outline: a node that does not know the added fields gets none
    When a message of kind "<kind>" has all added fields set
    Then a peer that does not know them gets <count> values
    And a peer that knows them gets the message whole
    And without them it has <count> values for each peer

    Examples:
      | kind         | count |
      | work         | 15    |
      | answer       | 2     |
      | whole-answer | 3     |
      | load         | 2     |

  Scenario: a link uses added fields and messages only if both nodes know them
    Then links between nodes use added fields and messages as follows
      | caller | receiver | fields | messages |
      | new    | new      | yes    | yes      |
      | new    | old      | no     | no       |
      | old    | new      | no     | no       |
      | middle | new      | yes    | no       |
      | new    | middle   | yes    | no       |

  # Guards against links that nodes of two versions close again and again.
  Scenario: a message that the peer does not know is not sent
    When a node asks one of an earlier version for its configuration
    Then it learns at once that the peer does not know the message
    And the link is still open

  # Guards against links that break with nodes of an earlier version: they reject
  # a message that has more values than they know.
  Scenario: no message has values that nodes with added fields do not know
    Then these messages have added fields, and no others
      | kind         | fields |
      | work         | worker |
      | answer       | worker |
      | whole-answer | worker |
      | load         | worker |
      | pull         | era    |
      | changes      | era    |
      | shard        | era    |

  Scenario Outline: a frequent message with an invalid value is rejected
    When a frame of kind "<kind>" has the values <values>
    Then the frame is rejected

    Examples:
      | kind    | values                    |
      | chunk   | ["text"]                  |
      | end     | ["5"]                     |
      | end     | [true]                    |
      | end     | []                        |
      | answer  | [200, [["a"]]]            |
      | answer  | [200, [["a", 1]]]         |
      | answer  | ["200", []]               |
      | answer  | [0, []]                   |
      | answer  | [101, []]                 |
      | answer  | [199, []]                 |
      | answer  | [600, []]                 |
      | failure | ["x", "no", "detail", 0]  |
