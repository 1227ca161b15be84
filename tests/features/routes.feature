Feature: Routes, tries and the guarded store
  What is decided about a request before and between its tries, and when the
  store is left alone.

  Scenario Outline: the longest prefix of the host wins
    Given the routes "/ /a/ /a/b/" of "one.example" and "/a/" of "two.example"
    Then "<path>" of "<host>" has the route "<route>"

    Examples:
      | host        | path   | route |
      | one.example | /x     | /     |
      | one.example | /a/x   | /a/   |
      | ONE.example | /a/b/x | /a/b/ |
      | one.example | /a     | /     |
      | two.example | /x     | none  |
      | six.example | /a/x   | none  |

  Scenario: requests are shared out by the weights of a route
    Given a route with the weights 90 and 10
    Then of 10000 requests between 8700 and 9300 go to the first service

  Scenario Outline: whether a request is sent again
    Given a <kind> request of a service <divided> by key, for 2 workers at most
    When its tries fail with "<failures>"
    Then it <end>

    Examples:
      | kind       | divided     | failures                            | end                    |
      | idempotent | not divided | worker-cut:ran                      | is sent again at once  |
      | idempotent | not divided | worker-cut:ran worker-cut:ran       | ends and may have run  |
      | unsafe     | not divided | worker-cut:ran                      | ends and may have run  |
      | unsafe     | not divided | refused:not                         | is sent again at once  |
      | unsafe     | divided     | refused:not                         | ends and has not run   |
      | unsafe     | divided     | not-owner:not                       | waits for an owner     |
      | unsafe     | divided     | link-lost:ran                       | ends and may have run  |
      | idempotent | divided     | link-lost:ran not-owner:not         | waits for an owner     |
      | unsafe     | not divided | overloaded:not                      | is sent again at once  |
      | unsafe     | not divided | overloaded:not overloaded:not overloaded:not | ends and has not run |
      | unsafe     | divided     | overloaded:not                      | ends and has not run   |

  # Guards against doors that ask a full gate again and again (SHORT of inc1).
  Scenario Outline: a request is sent once to each gate that has no room
    Given the gates of the nodes "<nodes>" of a service have no room
    When a request comes that any of them may answer
    Then each gate is asked once and the request is sent away

    Examples:
      | nodes |
      | a     |
      | a b   |
      | a b c |

  Scenario: retries of one service leave the budget of another alone
    Given retry budgets of a tenth
    When 100 requests of "a" and 100 of "b" come
    Then "a" may send 12 again and no more
    And "b" may send 12 again and no more

  Scenario: a store that does not answer is left alone for a while
    Given a guarded store that does not answer
    When 2 calls are made
    Then both reach the store
    When 10 calls are made
    Then none reaches the store
    When 700 ms pass and 5 calls are made
    Then 1 reaches the store
    When the store answers again, 700 ms pass and 5 calls are made
    Then 5 reach the store

  Scenario: a rate is right from the start
    Given a rate with a half-life of 1500 ms
    When 2 come each 100 ms for 1000 ms
    Then the rate is between 16 and 24 a second
