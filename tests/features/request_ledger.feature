Feature: The run ledger lets a request with an idempotency key run once

  Background:
    Given the run ledgers of the nodes a, b and c

  Scenario: a resend gets the recorded answer, another request none
    Given the record 1 "a b c" written by "a"
    When "a" begins "pay" as "fee-1"
    Then the verdict is FRESH
    When "a" begins "pay" as "fee-1"
    Then the verdict is RUNNING
    When "a" finishes "pay" with status 201
    And "a" begins "pay" as "fee-1"
    Then the verdict is ANSWERED
    When "a" begins "pay" as "fee-2"
    Then the verdict is MISMATCH

  Scenario: a resend after a takeover never runs
    Given the record 1 "a b c" written by "a"
    And "a" sends all it has to "b" under 1
    When "a" begins "pay" as "fee-1"
    And "a" sends all it has to "b" under 1
    And "b" begins "pay" as "fee-1"
    Then the verdict is RAN
    When "b" begins "new" as "fee-2"
    Then the verdict is FRESH

  Scenario: who may miss entries answers that they may have run
    Given the record 3 "c a" written by "c"
    When "c" begins "pay" as "fee-1"
    Then the verdict is PAST_UNKNOWN
    When 599999 ms pass
    And "c" begins "pay" as "fee-1"
    Then the verdict is PAST_UNKNOWN
    When 1 ms pass
    And "c" begins "pay" as "fee-1"
    Then the verdict is FRESH

  Scenario Outline: what is handed over counts only for the move it was for
    Given "a" hands all it has over to "c" under 3
    And the record <epoch> "c a" written by "<writer>"
    When "c" begins "pay" as "fee-1"
    Then the verdict is <verdict>

    Examples:
      | epoch | writer | verdict      |
      | 4     | a      | FRESH        |
      | 4     | c      | PAST_UNKNOWN |
      | 5     | a      | PAST_UNKNOWN |

  Scenario: a successor under the record before has all entries
    Given "a" sends all it has to "b" under 3
    And the record 4 "a b" written by "a"
    When "b" begins "pay" as "fee-1"
    Then the verdict is FRESH
    Given the record 6 "b a" written by "b"
    When "b" begins "pay-2" as "fee-1"
    Then the verdict is PAST_UNKNOWN

  Scenario: late news of an earlier try takes no entry away
    Given the record 1 "a b" written by "a"
    When "a" begins "pay" as "fee-1"
    And "a" forgets "pay" but the news is late
    And "a" begins "pay" as "fee-1"
    And "a" sends all it has to "b" under 1
    And the late news reaches "b"
    And "b" begins "pay" as "fee-1"
    Then the verdict is RAN

  Scenario: a ledger that is full lets nothing more run
    Given the record 1 "a b" written by "a"
    And "a" has noted 50000 requests
    When "a" begins "pay" as "fee-1"
    Then the verdict is FULL
    When 600000 ms pass
    And "a" begins "pay" as "fee-1"
    Then the verdict is FRESH
