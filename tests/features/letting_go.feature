Feature: A worker lets go before others get its shards
  What a worker was answered it holds until that runs out, whatever becomes of
  its node's incarnation meanwhile.

  Background:
    Given a node whose worker was given a shard for 3000 ms

  # Guards against two workers that hold the same keys: an incarnation was
  # recorded as ended while its lease, and so its worker's grants, went on.
  Scenario: the end of an incarnation is recorded once its worker has let go
    When the node gives the incarnation up
    Then its end is not recorded
    When the worker reports to the next incarnation, which takes the shard away
    And the worker reports that it holds nothing
    Then its end is recorded

  Scenario: the end of an incarnation is recorded once its grants have run out
    When the node gives the incarnation up
    And 2900 ms pass without a report
    Then its end is not recorded
    When 100 ms pass without a report
    Then its end is recorded

  # Guards against keys without an owner: the end was tried once.
  Scenario: an end that the store did not take is recorded later
    Given the store does not answer
    When the node gives the incarnation up
    And 3000 ms pass without a report
    Then its end is not recorded
    When the store answers again
    Then its end is recorded

  # Guards against keys that two hold: what an incarnation gave says nothing
  # of what the next one gave.
  Scenario: an incarnation may be followed though the next one gives the shard
    When the node gives the incarnation up
    And the next incarnation gives the worker the same shard
    Then the first may be followed, the next one not

  # Guards against a task of an earlier incarnation that gives a shard back
  # which the next one has withdrawn.
  Scenario: what an earlier incarnation asks for changes nothing
    When the node gives the incarnation up
    And the next incarnation gives the worker the same shard
    And the next one withdraws the shard and the first one restores it
    And the worker reports again
    Then it is not to hold the shard

  # Guards against the same at a planned stop whose time is over.
  Scenario: the witnesses are not told to seal while the worker holds a shard
    When the node stops without time to wait for its worker
    Then no witness was told to seal
    And its end is not recorded
