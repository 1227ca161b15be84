Feature: Grants of a worker that reports to its node
  The node holds shards until its lease ends; the worker is answered what to
  hold and for how long, on a clock that may count slow by two in a hundred.

  Background:
    Given a node that holds the shards 1 and 2 for 3000 ms

  Scenario: a grant ends before the lease does, on the slowest clock
    When the worker reports
    Then it is to hold the shards "1 2" for 2940 ms
    And the shard 1 is covered

  Scenario: the next grants are expected with the next report
    When the worker reports
    And 870 ms pass
    And the worker reports
    And 300 ms pass
    Then its next grants are expected in 570 ms

  Scenario: nothing is renewed without a lease, and nothing taken away
    When the worker reports
    And the lease of the node runs out
    And the worker reports
    Then nothing is renewed

  Scenario: what an earlier process of the node gave is taken away
    Given a node that holds no shard
    When the worker reports that it holds shard 1
    Then it is to hold the shards ""
    And it is not known to hold nothing
    When the worker reports
    Then it is known to hold nothing

  Scenario: a report that comes late changes nothing
    When the worker reports
    And a report of an earlier life comes
    Then nothing is renewed
    When the last report comes once more
    Then nothing is renewed

  Scenario: a new life of the worker gets only higher tokens
    When the worker reports
    And another life of the worker reports
    Then it is to hold the shards ""
    And the shards "1 2" need higher tokens
    When the node holds both under higher tokens
    And the worker reports
    Then it is to hold the shards "1 2" for 2940 ms

  # Guards against a token that another life had: a move that is not made
  # gives a shard back that the worker had let go.
  Scenario: a new life gets only higher tokens for what the last one let go
    When the worker reports
    And the shard 1 is withdrawn
    And the worker reports that it holds shard 1
    And the worker reports that it has released shard 1
    And another life of the worker reports
    And the shard 1 is restored
    And the worker reports
    Then it is to hold the shards ""
    And the shards "1 2" need higher tokens

  Scenario: keys come with what the worker of another node left for them
    When another node tells what its worker left of shard 2
    And the worker reports
    Then shard 2 is given with what was left there, shard 1 not

  Scenario: a withdrawn shard is released once the worker says so
    When the worker reports
    And the shard 1 is withdrawn
    Then the shard 1 is still covered
    When the worker reports that it holds shard 1
    Then it is to hold the shards "2" for 2940 ms
    And the shard 1 lets no more requests in
    And the shard 1 is not released yet
    When the worker reports that it has released shard 1
    Then the shard 1 is released with what it left

  Scenario: a withdrawn shard of a silent worker is released by time
    When the worker reports
    And the shard 1 is withdrawn
    And 2999 ms pass
    Then the shard 1 is not released yet
    When 1 ms pass
    Then the shard 1 is released

  # Guards against two workers that hold the same keys: rows need not begin
  # where those begin that were given.
  Scenario: a shard is not released while the worker works on some of its keys
    When the worker reports
    And the shard 1 is withdrawn
    And the worker reports that it holds shard 1
    And the worker reports that it works on one key of shard 1
    Then the shard 1 is not released yet

  # Guards against the same: an answer that takes time away may be lost.
  Scenario: a shard is not released by an answer that ends sooner
    When the worker reports
    And the lease is cut to 1000 ms
    And the worker reports
    And the shard 1 is withdrawn
    And 2999 ms pass
    Then the shard 1 is not released yet
    When 1 ms pass
    Then the shard 1 is released

  Scenario: a worker that leaves gets new work for a short while at most
    When the worker reports that it leaves
    Then it may be sent work
    When 1800 ms pass
    Then it may not be sent work

  Scenario: a worker that signs off without a report leaves as well
    When the worker reports
    And the worker signs off
    And 1800 ms pass
    Then it may not be sent work

  Scenario: a worker whose reports stay out gets no more work
    When the worker reports
    And 2600 ms pass
    Then it may not be sent work
    When the worker reports
    Then it may be sent work

  Scenario: what does not fit into an answer is left out, never what is held
    Given answers of at most 200 bytes
    When the worker reports
    Then it is to hold the shards "1" for 2940 ms
    When the node holds the shard 0 too
    And the worker reports
    Then it is to hold the shards "1" for 2940 ms
