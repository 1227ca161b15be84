Feature: The concurrency limit and the retry budget
  Decisions only, on a clock of the test's own.

  Scenario: a healthy worker keeps all its slots
    Given a concurrency limit for 20 slots
    When the worker answers in 10 ms for 10 s
    Then the limit is 20

  Scenario: refusals of the worker shrink the limit
    Given a concurrency limit for 20 slots
    When the worker refuses 50 requests over 3 s
    Then the limit is below 8

  Scenario: what is refused together shrinks the limit once
    Given a concurrency limit for 20 slots
    When the worker refuses 50 requests over 0 s
    Then the limit is 18

  Scenario: latency that rises with the load shrinks the limit
    Given a concurrency limit for 20 slots
    When the worker answers in 10 ms for 10 s
    And the worker answers in 80 ms for 1 s
    Then the limit is below 18

  Scenario: a worker that stays slow gets its slots back
    Given a concurrency limit for 20 slots
    When the worker answers in 10 ms for 10 s
    And the worker answers in 100 ms for 60 s
    Then the limit is 20

  Scenario Outline: only a worker that loses most answers loses slots for it
    Given a concurrency limit for 20 slots
    When 1 of <every> answers of the worker is lost for 4 s
    Then the limit is <limit>

    Examples:
      | every | limit    |
      | 20    | 20       |
      | 3     | 20       |
      | 1     | below 8  |

  # Guards against a worker that is back and left idle (issue 30): a gate that
  # runs little sees few answers, and steps by them take it tens of seconds.
  Scenario Outline: a worker that answers again gets its slots back soon
    Given a concurrency limit for 7 slots
    When the worker answers in <latency> ms, as many at once as it may, for 2 s
    And 40 answers of the worker are lost one after the other
    Then the limit is 1
    When the worker answers in <latency> ms, as many at once as it may, for <span> s
    Then the limit is 7

    Examples:
      | latency | span |
      | 70      | 2    |
      | 300     | 6    |

  Scenario: a worker that answers only some again does not
    Given a concurrency limit for 7 slots
    When the worker answers in 70 ms, as many at once as it may, for 2 s
    And 40 answers of the worker are lost one after the other
    And 3 of 4 answers are lost for 2 s
    Then the limit is below 3

  Scenario: a load report of zero changes nothing
    Given a concurrency limit for 20 slots
    When the worker refuses 50 requests over 3 s
    And the worker reports 0 running while this node runs 7
    Then the limit is as before

  Scenario: a report of foreign work lowers the limit, and fades
    Given a concurrency limit for 20 slots
    When the worker reports 15 running while this node runs 5
    Then the limit is 10
    And after 10 s the limit is 20

  Scenario: retries stay a tenth of the load
    Given a retry budget of 0.1
    When 1000 requests come over 5 s and each wants a retry
    Then at most 102 retries were let through
    And at least 95 retries were let through

  Scenario: load of long ago pays for no retries
    Given a retry budget of 0.1
    When 1000 requests come over 5 s
    And 20 s pass and each of 50 requests wants a retry
    Then at most 7 retries were let through
