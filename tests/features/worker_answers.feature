Feature: How an answer of the worker ends

  Scenario Outline: an answer without a length that ends with <end> is <what>
    Given a worker that sends half of an answer without a length
    When the half is read and the worker ends the connection with <end>
    Then the answer is <what>

    Examples:
      | end             | what  |
      | a reset         | cut   |
      | an ordinary end | whole |

  Scenario: requests that follow each other share one connection
    Given a worker that answers every request on a connection
    When 5 requests are sent to it and read one after the other
    Then it was connected to once
