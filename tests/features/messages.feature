Feature: Messages between nodes
  Messages are decoded as they were encoded, and invalid ones are rejected.

  Scenario: encoding and decoding preserve every kind of message
    Then each kind of message is decoded as it was encoded

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
      | failure | ["x", "no", "detail", 0]  |
