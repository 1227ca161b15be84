Feature: Long answers leave a machine one after the other
  All links of a process share one line; what they hand over early, holds up
  what is short and urgent.

  Scenario: a long answer goes when those before it have arrived
    Given an outlet
    When 3 long messages of 90000 bytes ask to go
    Then 1 of them has gone
    When the first arrives after 100 ms
    Then 2 of them have gone
    And one more would wait for 100 ms

  Scenario: long messages that are small enough go together
    Given an outlet
    When 3 long messages of 40000 bytes ask to go
    Then 2 of them have gone

  # Guards against long ways that are used for one answer at a time.
  Scenario Outline: as many go together as arrive soon
    Given an outlet
    And 20 long messages before, which arrived after <span> ms each
    When 8 long messages of 90000 bytes ask to go
    Then <gone> of them have gone

    Examples:
      | span | gone |
      | 35   | 8    |
      | 130  | 1    |

  Scenario: a peer that says nothing holds up the others for a while only
    Given an outlet
    When 2 long messages of 90000 bytes ask to go
    And 200 ms pass for the outlet
    Then 2 of them have gone

  Scenario: a message that is given up leaves its place
    Given an outlet
    When 3 long messages of 90000 bytes ask to go
    And the second is given up
    And the first arrives after 100 ms
    Then the last of them has gone

  # Guards against calls that wait behind downloads on a narrow link.
  Scenario: a short answer on one link overtakes long ones on others
    Given links to 2 peers
    When an answer of 90000 bytes is sent on each
    Then the peer 0 has it and the peer 1 has not
    When a short answer is sent to peer 1
    Then the peer 1 has the short one
    When the peer 0 has read what it has
    Then the peer 1 has the long one

  # Guards against slots that are kept while an answer waits for the line.
  Scenario: a slot is free while a long answer waits for its turn
    Given a gate whose answers wait for the line
    When 6 requests come one after the other
    Then all of them ran

  Scenario: only what has long answers is sent away for a full line
    Given an outlet
    And answers of rank 2 have 90000 bytes, and those of rank 1 have 300
    When 4 long messages of 90000 bytes ask to go
    And the first arrives after 100 ms
    Then an answer of rank 2 would wait for 200 ms and one of rank 1 for 0 ms
