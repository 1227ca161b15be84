Feature: The end of a node whose witnesses are gone is recorded automatically
  A lease needs grants of a majority of each witness set on record.  Grants last
  1,600 ms and clocks may drift by 50 ms.

  Background:
    Given a node on record with the witnesses "b c d"

  Scenario: its end is due once the last grants have expired
    When the processes of "b c" are replaced by new ones
    Then its end is not due after 1649 ms
    But its end is due after 1650 ms

  Scenario: its end is not due while only a minority is gone
    When the processes of "b" are replaced by new ones
    Then its end is not due after 100000 ms

  Scenario: its end is not due while another set on record has a majority
    Given it begins to change to the witnesses "e f g"
    When the processes of "b c" are replaced by new ones
    Then its end is not due after 100000 ms

  Scenario: a change of its record restarts the wait
    When the processes of "b c" are replaced by new ones
    Then its end is not due after 1600 ms
    When its record is written again
    Then its end is not due after 100 ms
    But its end is due after 1650 ms

  Scenario: a record that has changed meanwhile is not overwritten
    When its end is written over a version that is not the newest
    Then the write fails with a conflict and the node has not ended
