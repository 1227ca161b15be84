Feature: Admission of requests to the worker
  Decisions only, on a clock of the test's own.

  Background:
    Given admission for a worker with 4 slots and 8 places to wait

  Scenario: slots are used first, then the queue, then requests are shed
    When 20 requests of different keys come
    Then 4 run, 8 wait and 8 are shed

  Scenario: a worker that says that it has fewer slots gets less
    Given the worker says that it has 2 slots
    When 20 requests of different keys come
    Then 2 run, 4 wait and 14 are shed

  # Guards against losing slots to a worker that rejects at random (SHORT of
  # inc1): its rejections say nothing of its load.
  Scenario Outline: refusals for its load cost a worker slots, others do not
    When the worker ends 50 requests with "<result>" over 5 s
    And 20 requests of different keys come
    Then <run> run, 8 wait and <shed> are shed

    Examples:
      | result   | run | shed |
      | REFUSED  | 1   | 11   |
      | REJECTED | 4   | 8    |

  Scenario: a hot key fills only its share of the queue
    When 50 requests of key "hot" come
    And a request of key "cold" comes
    Then the request of key "cold" waits
    And 4 of key "hot" wait

  Scenario: a key with fewer slots goes first
    When 8 requests of key "hot" come
    And a request of key "cold" comes
    And the worker answers one after 10 ms
    Then the request of key "cold" runs

  Scenario: no key starves while a hot one keeps coming
    Given answers of 10 ms were seen
    When 200 rounds each bring 12 requests of key "hot" and 1 of key "cold"
    Then at least 95 of 100 requests of key "cold" were served

  Scenario: the newest of the longest line leaves for a key that is new
    When 4 requests of key "hot" come
    And 2 requests of each of 4 keys come
    And a request of key "late" comes
    Then the request of key "late" waits
    And 8 wait in all

  # Guards against calls that are sent away while downloads wait (issue 30):
  # each costs the request that made it, and the slot that this one had.
  Scenario Outline: a full queue makes room for a class of more weight
    When 12 requests without a key come
    And <count> requests without a key come of "calls" of weight 16
    Then <calls> of "calls" wait and <ordinary> ordinary ones
    And 8 wait in all

    Examples:
      | count | calls | ordinary |
      | 1     | 1     | 7        |
      | 7     | 7     | 1        |
      | 20    | 7     | 1        |

  Scenario Outline: a class of little weight keeps one place in a full queue
    When 12 requests without a key come of "calls" of weight 16
    And <count> requests without a key come
    Then 7 of "calls" wait and 1 ordinary ones

    Examples:
      | count |
      | 1     |
      | 5     |

  Scenario: a full queue of many keys makes room for a class of more weight
    When 12 requests of different keys come
    And a request of key "new" comes of "paying" of weight 4
    Then the request of key "new" waits
    And the request of key "key-11" is shed
    And 8 wait in all

  Scenario: what can't be answered in time is shed at once
    Given answers of 100 ms were seen
    When 8 requests of different keys come
    And a request of key "hasty" comes that has 150 ms left
    Then the request of key "hasty" is shed
    And it may come again after 200 ms

  Scenario: what is sent away is told to come again one after the other
    Given answers of 100 ms were seen
    When 12 requests of different keys come
    And 3 hasty requests come that have 150 ms left
    Then those may come again after 300, 325 and 350 ms

  Scenario: what waits is shed once the worker has slowed too far
    Given answers of 10 ms were seen
    When 4 requests of key "a" come
    And a request of key "b" comes that has 500 ms left
    And 400 ms pass without an answer
    And a request of key "c" comes
    Then the request of key "b" is shed

  Scenario: a frozen worker gets no more than its slots
    When 4 requests of key "a" come
    And 5000 ms pass without an answer
    And a request of key "b" comes that has 1000 ms left
    Then the request of key "b" is shed

  Scenario: a request past its deadline is never let in
    When a request of key "old" comes that has 0 ms left
    Then the request of key "old" is shed

  Scenario: paying traffic gets its weight and the ordinary does not starve
    When the queue always holds "paying" of weight 4 and ordinary requests
    Then of 100 that start between 75 and 85 are "paying"

  Scenario: slots given back twice count once
    When 4 requests of different keys come
    And each of them ends twice
    Then 0 run, 0 wait and 0 are shed

  Scenario: admission under any order of events
    Then no order of events breaks the bounds of admission

  Scenario: requests belong to the heaviest declared class that fits
    Given a service with these classes of traffic
      """
      {"paying": {"weight": 8, "methods": ["POST"]},
       "internal": {"weight": 4, "header": "Caller", "text": "checks"}}
      """
    Then requests belong to these classes
      | method | Caller | class    |
      | GET    | trader | ordinary |
      | GET    | checks | internal |
      | POST   | checks | paying   |

  Scenario Outline: how long a request is worth waiting for a slot
    When a request of rank <rank> with <left> ms left has an objective of <objective> ms
    Then it is worth waiting for <useful> ms

    Examples:
      | rank | left | objective | useful |
      | 0    | 250  | 100       | 250    |
      | 1    | 250  | 100       | 100    |
      | 2    | 80   | 100       | 80     |
      | 2    | 250  | 0         | 250    |
      | -1   | 250  | 0         | 250    |
