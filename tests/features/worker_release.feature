Feature: A worker releases its shards before other workers get them
  A worker holds what it was granted until the grant expires, whatever happens
  to the incarnation of its node meanwhile.

  Background:
    Given a node whose worker was granted a shard for 3000 ms

  # Guards against two workers that hold the same keys: an incarnation was
  # recorded as ended while its lease, and so its worker's grants, were valid.
  Scenario: the end of an incarnation is recorded once its worker released all
    When the node gives the incarnation up
    Then its end is not recorded
    When the worker reports to the next incarnation, which takes the shard away
    And the worker reports that it holds nothing
    Then its end is recorded

  Scenario: the end of an incarnation is recorded once its grants have expired
    When the node gives the incarnation up
    And 2900 ms pass without a report
    Then its end is not recorded
    When 100 ms pass without a report
    Then its end is recorded

  # Guards against keys without an owner: the end was written only once, and the
  # write failed.
  Scenario: an end that the store did not accept is recorded later
    Given the store does not answer
    When the node gives the incarnation up
    And 3000 ms pass without a report
    Then its end is not recorded
    When the store answers again
    Then its end is recorded

  # Guards against two workers that hold the same keys: what one incarnation has
  # granted says nothing about the grants of the next.
  Scenario: an incarnation has finished although the next one grants the shard
    When the node gives the incarnation up
    And the next incarnation grants the worker the same shard
    Then the first one has finished, the next one has not

  # Guards against a task of an earlier incarnation that restores a shard which
  # the next one has withdrawn.
  Scenario: requests of an earlier incarnation have no effect
    When the node gives the incarnation up
    And the next incarnation grants the worker the same shard
    And the next one withdraws the shard and the first one restores it
    And the worker reports again
    Then it is not granted the shard

  # Guards against two workers that hold the same keys after a planned stop
  # whose time limit has passed.
  Scenario: the witnesses are not asked to seal while the worker holds a shard
    When the node stops without time to wait for its worker
    Then no witness was asked to seal
    And its end is not recorded
