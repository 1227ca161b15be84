Feature: The run ledger lets a request with an idempotency key run once

  Background:
    Given the run ledgers of the nodes a, b and c

  Scenario: a resend gets the kept answer, another request does not
    Given a record of epoch 1 with succession "a b c" written by "a"
    When "a" admits "pay" with fingerprint "fee-1"
    Then the decision is FRESH
    When "a" admits "pay" with fingerprint "fee-1"
    Then the decision is RUNNING
    When "a" finishes "pay" with status 201
    And "a" admits "pay" with fingerprint "fee-1"
    Then the decision is ANSWERED
    When "a" admits "pay" with fingerprint "fee-2"
    Then the decision is MISMATCH

  Scenario: a resend after a takeover never runs
    Given a record of epoch 1 with succession "a b c" written by "a"
    And "a" sends all its entries to "b" in epoch 1
    When "a" admits "pay" with fingerprint "fee-1"
    And "a" sends all its entries to "b" in epoch 1
    And "b" admits "pay" with fingerprint "fee-1"
    Then the decision is RAN
    When "b" admits "new" with fingerprint "fee-2"
    Then the decision is FRESH

  Scenario: an owner that may miss entries runs nothing until they have expired
    Given a record of epoch 3 with succession "c a" written by "c"
    When "c" admits "pay" with fingerprint "fee-1"
    Then the decision is PAST_UNKNOWN
    When 599999 ms pass
    And "c" admits "pay" with fingerprint "fee-1"
    Then the decision is PAST_UNKNOWN
    When 1 ms pass
    And "c" admits "pay" with fingerprint "fee-1"
    Then the decision is FRESH

  # Guards against payments that run twice after a second loss of an owner.
  Scenario Outline: each loss of entries is waited for
    Given a record of epoch 3 with succession "c a" written by "c"
    When "c" admits "pay" with fingerprint "fee-1"
    Then the decision is PAST_UNKNOWN
    Given <meanwhile>
    When 599999 ms pass
    Given a record of epoch 6 with succession "c a" written by "c"
    When "c" admits "pay" with fingerprint "fee-1"
    Then the decision is PAST_UNKNOWN
    When 599999 ms pass
    And "c" admits "pay" with fingerprint "fee-1"
    Then the decision is PAST_UNKNOWN
    When 1 ms pass
    And "c" admits "pay" with fingerprint "fee-1"
    Then the decision is FRESH

    Examples:
      | meanwhile                                          |
      | "a" sends all its entries to "c" in epoch 4        |
      | a record of epoch 5 with succession "a b" written by "a" |

  Scenario Outline: entries handed over are valid only for the intended move
    Given "a" hands all its entries over to "c" in epoch 3
    And a record of epoch <epoch> with succession "c a" written by "<writer>"
    When "c" admits "pay" with fingerprint "fee-1"
    Then the decision is <decision>

    Examples:
      | epoch | writer | decision     |
      | 4     | a      | FRESH        |
      | 4     | c      | PAST_UNKNOWN |
      | 5     | a      | PAST_UNKNOWN |

  Scenario: a successor under the previous record has all entries
    Given "a" sends all its entries to "b" in epoch 3
    And a record of epoch 4 with succession "a b" written by "a"
    When "b" admits "pay" with fingerprint "fee-1"
    Then the decision is FRESH
    Given a record of epoch 6 with succession "b a" written by "b"
    When "b" admits "pay-2" with fingerprint "fee-1"
    Then the decision is PAST_UNKNOWN

  Scenario: a delayed message about an earlier attempt removes no entry
    Given a record of epoch 1 with succession "a b" written by "a"
    When "a" admits "pay" with fingerprint "fee-1"
    And "a" removes "pay" but the message about it is delayed
    And "a" admits "pay" with fingerprint "fee-1"
    And "a" sends all its entries to "b" in epoch 1
    And the delayed message reaches "b"
    And "b" admits "pay" with fingerprint "fee-1"
    Then the decision is RAN

  Scenario: a full ledger admits no more requests
    Given a record of epoch 1 with succession "a b" written by "a"
    And "a" has recorded 50000 requests
    When "a" admits "pay" with fingerprint "fee-1"
    Then the decision is FULL
    When 600000 ms pass
    And "a" admits "pay" with fingerprint "fee-1"
    Then the decision is FRESH

  # Guards against payments that are refused for ten minutes after a lapse.
  Scenario Outline: nodes that joined anew tell an owner what they admitted
    Given a record of epoch 1 with succession "a b" written by "a"
    When "a" admits "pay" with fingerprint "fee-1"
    Then the decision is FRESH
    Given "a" joins anew
    And "b" joins anew
    And a record of epoch <epoch> with succession "c" written by "c"
    When "c" admits "new" with fingerprint "fee-2"
    Then the decision is PAST_UNKNOWN
    When "c" asks "<asked>"
    And "c" admits "pay" with fingerprint "fee-1"
    Then the decision is RAN
    When "c" admits "new" with fingerprint "fee-2"
    Then the decision is <decision>

    Examples:
      | epoch | asked | decision     |
      | 2     | a b   | FRESH        |
      | 2     | a     | PAST_UNKNOWN |
      | 3     | a b   | PAST_UNKNOWN |

  Scenario Outline: the last to act has what those before it admitted
    Given a record of epoch 1 with succession "a b" written by "a"
    And "a" sends all its entries to "b" in epoch 1
    And <acted>
    And "b" joins anew
    And a record of epoch 2 with succession "c" written by "c"
    When "c" asks "b"
    And "c" admits "pay" with fingerprint "fee-1"
    Then the decision is <decision>

    Examples:
      | acted                              | decision     |
      | "b" acts under the record          | FRESH        |
      | "b" has seen the record            | PAST_UNKNOWN |

  Scenario Outline: a successor tells what it has while it <lease> its lease
    Given a record of epoch 1 with succession "a b" written by "a"
    And "a" sends all its entries to "b" in epoch 1
    And a record of epoch 2 with succession "c" written by "a"
    When "c" asks "b", which <lease> its lease
    And "c" admits "pay" with fingerprint "fee-1"
    Then the decision is <decision>

    Examples:
      | lease | decision     |
      | holds | FRESH        |
      | lost  | PAST_UNKNOWN |

  Scenario: nobody is asked in vain for what no ledger has
    Given a record of epoch 2 with succession "c" written by "c"
    When "c" asks "a b"
    And "c" asks "a b", which holds its lease
    And "c" admits "pay" with fingerprint "fee-1"
    Then the decision is PAST_UNKNOWN

  Scenario: who acted under an earlier record tells nothing of the last
    Given a record of epoch 1 with succession "a b" written by "a"
    And "a" sends all its entries to "b" in epoch 1
    And "b" acts under the record
    And a record of epoch 2 with succession "a b" written by "b"
    And "b" has seen the record
    And "b" joins anew
    And a record of epoch 3 with succession "c" written by "c"
    When "c" asks "b"
    And "c" admits "pay" with fingerprint "fee-1"
    Then the decision is PAST_UNKNOWN

  Scenario: nothing is known of the members of a record that was missed
    Given a record of epoch 1 with succession "a" written by "a"
    And "b" sends all its entries to "a" in epoch 2
    And "a" joins anew
    And a record of epoch 3 with succession "c" written by "c"
    When "c" asks "a"
    And "c" admits "pay" with fingerprint "fee-1"
    Then the decision is PAST_UNKNOWN

  Scenario: a node that joined anew may have missed entries meanwhile
    Given a record of epoch 1 with succession "a b" written by "a"
    And "a" sends all its entries to "b" in epoch 1
    And "b" joins anew
    And a record of epoch 2 with succession "b#2" written by "b#2"
    When "b" admits "pay" with fingerprint "fee-1"
    Then the decision is PAST_UNKNOWN

  # Guards against a wait that begins anew whenever the shard is moved.
  Scenario: the next owner goes on with the wait of the last
    Given a record of epoch 3 with succession "a" written by "a"
    When "a" admits "pay" with fingerprint "fee-1"
    Then the decision is PAST_UNKNOWN
    When 300000 ms pass
    Given a record of epoch 4 with succession "b a" written by "a"
    When "b" asks "a", which holds its lease
    And 299999 ms pass
    And "b" admits "pay" with fingerprint "fee-1"
    Then the decision is PAST_UNKNOWN
    When 1 ms pass
    And "b" admits "pay" with fingerprint "fee-1"
    Then the decision is FRESH
