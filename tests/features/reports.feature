Feature: Grants of a worker that reports to its node
  The node holds shards until its lease expires.  The reply to each report says
  which shards the worker may hold and for how long, on a clock that may be slow
  by two per cent.

  Background:
    Given a node that holds shards 1 and 2 for 3000 ms

  Scenario: a grant expires before the lease, even on the slowest clock
    When the worker reports
    Then it is granted the shards "1 2" for 2940 ms
    And shard 1 is covered by a grant

  Scenario: the next grants are expected with the next report
    When the worker reports
    And 870 ms pass
    And the worker reports
    And 300 ms pass
    Then its next grants are expected in 570 ms

  Scenario: without a lease grants are neither renewed nor withdrawn
    When the worker reports
    And the lease of the node expires
    And the worker reports
    Then no grant is renewed

  Scenario: grants of an earlier process of the node are withdrawn
    Given a node that holds no shard
    When the worker reports that it holds shard 1
    Then it is granted the shards ""
    And it may still hold keys
    When the worker reports
    Then it has released all keys

  # Guards against two workers that hold the same keys: a report that was held up
  # until the node had started again says nothing about later grants.
  Scenario Outline: reports without keys, <connections>, show <what>
    Given the node's endpoint for reports
    When two reports without keys arrive there <connections>
    Then it <what>

    Examples:
      | connections             | what                  |
      | on one connection       | has released all keys |
      | on a connection each    | may still hold keys   |

  Scenario: a stale report changes nothing
    When the worker reports
    And a report of an earlier instance arrives
    Then no grant is renewed
    When the last report arrives again
    Then no grant is renewed

  Scenario: a new instance of the worker gets only higher tokens
    When the worker reports
    And a new instance of the worker reports
    Then it is granted the shards ""
    And the shards "1 2" need higher tokens
    When the node holds both shards with higher tokens
    And the worker reports
    Then it is granted the shards "1 2" for 2940 ms

  # Guards against granting a token that an earlier instance had: a shard that
  # the worker has released is granted again if its move is abandoned.
  Scenario: a new instance gets only higher tokens for released shards
    When the worker reports
    And shard 1 is withdrawn
    And the worker reports that it holds shard 1
    And the worker reports that it has released shard 1
    And a new instance of the worker reports
    And shard 1 is restored
    And the worker reports
    Then it is granted the shards ""
    And the shards "1 2" need higher tokens

  Scenario: a grant contains the handovers of the worker of another node
    When another node announces the handovers of its worker for shard 2
    And the worker reports
    Then shard 2 is granted with these handovers and shard 1 without any

  Scenario: a withdrawn shard is released once the worker reports it
    When the worker reports
    And shard 1 is withdrawn
    Then shard 1 is still covered by a grant
    When the worker reports that it holds shard 1
    Then it is granted the shards "2" for 2940 ms
    And shard 1 admits no more requests
    And shard 1 is not released yet
    When the worker reports that it has released shard 1
    Then shard 1 is released with its handovers

  Scenario: a withdrawn shard of a silent worker is released when its grant expires
    When the worker reports
    And shard 1 is withdrawn
    And 2999 ms pass
    Then shard 1 is not released yet
    When 1 ms pass
    Then shard 1 is released

  # Guards against two workers holding the same keys: the rows of a report need
  # not start at the same keys as the granted ranges.
  Scenario: a shard is not released while the worker processes some of its keys
    When the worker reports
    And shard 1 is withdrawn
    And the worker reports that it holds shard 1
    And the worker reports that it still processes one key of shard 1
    Then shard 1 is not released yet

  # Guards against two workers holding the same keys: a reply that shortens a
  # grant may be lost.
  Scenario: a shard is not released by a reply with an earlier expiry
    When the worker reports
    And the lease is shortened to 1000 ms
    And the worker reports
    And shard 1 is withdrawn
    And 2999 ms pass
    Then shard 1 is not released yet
    When 1 ms pass
    Then shard 1 is released

  Scenario: a leaving worker gets new requests only for a short time
    When the worker reports
    And the worker reports that it is leaving
    Then it may be sent requests
    When 1800 ms pass
    Then it may not be sent requests

  # Guards against sending requests to a leaving worker after a restart of the
  # node: the process before may have been told long ago (issue 36).
  Scenario: a worker whose first report says that it is leaving gets no requests
    When the worker reports that it is leaving
    Then it may not be sent requests

  Scenario: a worker that deregisters without a report is leaving as well
    When the worker reports
    And the worker deregisters
    And 1800 ms pass
    Then it may not be sent requests

  # Guards against sending requests to a worker that has deregistered: a report
  # that was held up over a restart of the node counted as a new instance's.
  Scenario: a worker that deregisters before its first report is leaving as well
    When the worker deregisters
    And 1800 ms pass
    And the worker reports
    Then it may not be sent requests
    When the worker starts again under its id and reports
    Then it may be sent requests

  Scenario: a worker that has stopped reporting gets no more requests
    When the worker reports
    And 2600 ms pass
    Then it may not be sent requests
    When the worker reports
    Then it may be sent requests

  Scenario: shards that do not fit into a reply are left out, but never held ones
    Given replies of at most 200 bytes, and shards 3 and 5
    When the worker reports
    Then it is granted the shards "3" for 2940 ms
    When the node also holds shard 1
    And the worker reports
    Then it is granted the shards "3" for 2940 ms

  # Guards against keys without service for want of room in a reply: shards of
  # a worker that stayed alone with others did not fit (issue 56).
  Scenario: neighbouring keys under one token share a row
    Given replies of at most 200 bytes, and shards 1 and 2
    When the worker reports
    Then it is granted the shards "1 2" for 2940 ms
    And the reply has 16 rows
    And the rows take 142 bytes, as they are encoded
    When the worker reports that it holds shard 1
    Then it is granted the shards "1 2" for 2940 ms

  # Guards against replies that are too long because tokens have grown.
  Scenario: what rows take is counted as they are encoded
    Given a node that holds shard 1 under token 65536
    When the worker reports
    Then the reply has 16 rows
    And the rows take 206 bytes, as they are encoded

  # Guards against keys without service: a life of the worker that began by a
  # clock that was behind counted as ended, for as long as it lived.
  Scenario: an instance with an earlier start replaces one that is silent
    When the worker reports
    And the worker starts again by a clock that is 2000 ms behind
    And the worker reports for 2500 ms
    Then no grant is renewed
    When the worker reports for 3000 ms
    Then it is granted the shards ""
    And the shards "1 2" need higher tokens
    When the node holds both shards with higher tokens
    And the worker reports
    Then it is granted the shards "1 2" for 2940 ms
    When a report of the instance before arrives
    Then no grant is renewed
    When the worker reports
    Then it is granted the shards "1 2" for 2940 ms

  # Guards against an ended instance in place of a new one: its reports were
  # held up, and arrive all at once while the new one is silent.
  Scenario: reports that were held up do not replace a silent instance
    When the worker reports
    And 10000 ms pass
    And 5 reports of an earlier instance arrive
    Then no grant is renewed
    When the worker reports
    And 2000 ms pass
    And 5 reports of an earlier instance arrive
    Then no grant is renewed

  # Guards against a key that goes to a later instance under the token of an
  # earlier one: the key belongs to a shard of another name by then.
  Scenario: a new instance gets only higher tokens for keys that changed shards
    When the worker reports
    And a new instance of the worker reports
    And the node holds another shard with the first key of shard 1 under token 8
    And the worker reports
    Then it is granted the shards ""
    And the other shard needs a higher token
    When the node holds the other shard under token 9
    And the worker reports
    Then it is granted the first key of shard 1 under token 9

  # Guards against a key that goes to a later instance under the token of an
  # earlier one: an earlier process of the node had granted it.
  Scenario: a new instance gets only higher tokens than an earlier one reported
    Given a node that holds shard 1 under token 8
    When the worker reports that it holds shard 2
    And a new instance of the worker reports
    And the node holds shard 2 under token 8
    And the worker reports
    Then it is granted the shards ""
    And the shards "1 2" need higher tokens

  # Guards against keys that are granted in vain: a worker accepts no token below
  # one that it has seen.
  Scenario: a shard is not granted under a lower token than the worker reports
    Given a node that holds shard 1 under token 7
    When the worker reports that it holds shard 1
    Then it is granted the shards ""
    And the shards "1" need higher tokens
    When the node holds shard 1 under token 8
    And the worker reports
    Then it is granted the shards "1" for 2940 ms

  # Guards against a key that goes to a later instance under the token of an
  # earlier one: it was reported while the node had not joined, or too late.
  Scenario Outline: a new instance gets only higher tokens than were reported, <when>
    Given a node that holds shard 1 under token 8
    When <report>
    And a new instance of the worker reports
    And the node holds shard 2 under token 8
    And the worker reports
    Then the shards "2" need higher tokens

    Examples:
      | when           | report                                                     |
      | before joining | the worker reports that it holds shard 2 before the node has joined |
      | too late       | an earlier instance reports late that it holds shard 2     |

  # Guards against keys that their owner holds and never serves again: a shard
  # that was left out of one reply stayed closed after it was granted again.
  Scenario: a shard left out of a reply is served once it is granted again
    Given replies of at most 400 bytes, and shards 1 and 2
    When the worker reports
    Then it is granted the shards "1 2" for 2940 ms
    When another node announces the handovers of its worker for shard 2
    And the worker reports
    Then it is granted the shards "1" for 2940 ms
    When the worker reports that it holds shard 2
    Then it is granted the shards "1 2" for 2940 ms
    And shard 2 is covered by a grant
    And shard 2 admits requests

  # Guards against a node that moves all shards away, and keeps them closed
  # meanwhile, because it stood still itself while its worker reported.
  Scenario: a standstill of the node is no silence of its worker
    When the worker reports
    And shard 1 is withdrawn
    And the node checks its worker for 500 ms
    And 3000 ms pass
    Then it may be sent requests
    And shard 1 is released
    When the node checks its worker for 1700 ms
    Then it may be sent requests
    When the node checks its worker for 200 ms
    Then it may not be sent requests
