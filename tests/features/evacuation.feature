Feature: Evacuation of a failure domain
  Workers of an evacuated failure domain get no requests and no shards.  Each
  node knows of it within seconds, whoever can't reach the store.

  Scenario: nodes of an evacuated domain get no work, and return by steps
    Given a node that knows 3 nodes in each of the domains "a, b, c"
    When the store lists "a" as evacuated
    Then 6 nodes serve, none of them in "a"
    And no succession of a shard has a node in "a"
    When the store lists none as evacuated
    Then the nodes in "a" count with 2 of 8 slots, and 8 slots after 3000 ms

  Scenario: a node without the store hears from its peers, with the age of it
    Given a node that knows 3 nodes in each of the domains "a, b, c"
    When a peer tells it that "a" was evacuated at version 7, proved 900 ms ago
    And a peer tells it that none was evacuated at version 6, proved 10 ms ago
    Then "a" is evacuated, by a proof that is 900 ms old

  Scenario: a node that only hears from peers counts a domain whole in the end
    Given a node that knows 3 nodes in each of the domains "a, b, c"
    When a peer tells it that "a" was evacuated at version 7, proved 900 ms ago
    And a peer tells it that none was evacuated at version 8, proved 10 ms ago
    And a peer tells it that none was evacuated at version 8 after 3000 ms
    Then the nodes in "a" count with all of 8 slots

  Scenario: a node asks the store once nobody proves what it knows
    Given a node that knows 3 nodes in each of the domains "a, b, c"
    And it watches a store that lists "a"
    When 2000 ms pass at the watching node
    Then it has not asked the store again
    When 1600 ms pass at the watching node
    Then it has asked the store again
    When the store is silent for 60000 ms
    Then "a" is evacuated, by a proof that is 60000 ms old

  Scenario: the store loses its history, and a domain was taken back meanwhile
    Given a node that knows 3 nodes in each of the domains "a, b, c"
    And it watches a store that lists "a"
    When the store has lost its history and lists "b"
    Then the evacuated domains are "b"

  Scenario: a store that comes back from an older copy has forgotten one
    Given a node that knows 3 nodes in each of the domains "a, b, c"
    And it watches a store that lists "a"
    When the store begins another era and lists none
    Then the evacuated domains are "a"
    When 10000 ms pass at the watching node
    Then no domain is evacuated

  # Three busy shards leave a node for two others, one of which is busy.
  Scenario: shards leave an evacuated node for those that have room
    Given an evacuated node with 3 busy shards, a busy successor and an idle node
    Then its shards go to the idle node

  # Requests of keys come while their shards are still on their way.
  Scenario: owners serve what has not moved for a part of the limit only
    Given a node that knows 3 nodes in each of the domains "a, b, c"
    And it watches a store that lists "none"
    When 400 ms pass at the watching node
    And the store lists "a" as evacuated
    Then owners in "a" may serve for 1250 ms more, with a limit of 5000 ms

  Scenario: owners serve no longer once the last proof is old
    Given a node that knows 3 nodes in each of the domains "a, b, c"
    And it watches a store that lists "none"
    When 2000 ms pass at the watching node
    And the store lists "a" as evacuated
    Then owners in "a" may serve for 500 ms more, with a limit of 5000 ms

  Scenario: owners that never knew the domain without evacuation serve nothing
    Given a node that knows 3 nodes in each of the domains "a, b, c"
    When the store lists "a" as evacuated
    Then owners in "a" may serve for 0 ms more, with a limit of 5000 ms

  Scenario: a service whose nodes are all in evacuated domains can't be served
    Given a node that knows 3 nodes in each of the domains "a"
    When the store lists "b" as evacuated
    Then the service is not wholly evacuated
    When the store lists "a" as evacuated
    Then the service is wholly evacuated

  # Without an end, such requests would wait for an owner that can't come.
  Scenario: requests of a wholly evacuated service are tried once
    Given a node that knows 3 nodes in each of the domains "a"
    And shard 0 is owned by "n1", whose gate refuses
    When the store lists "a" as evacuated
    Then a request of shard 0 fails as not run, after 1 attempts at "n1"
    And a request of shard -1 fails as not run, after 0 attempts at "n1"

  Scenario: the workers of a real deployment are evacuated and taken back
    Given a deployment that follows evacuations
      | node | domain | service |
      | p1   | a      | portal  |
      | p2   | b      | portal  |
      | p3   | b      | portal  |
      | p4   | c      | portal  |
      | d1   | a      | docs    |
      | d2   | b      | docs    |
    When the domain "a" is evacuated
    Then only workers of "p2, p3, p4, d2" serve within 20 s, at the doors of all nodes
    And the workers of "p1, d1" receive no more requests, nor after a restart
    When the domain "a" is taken back
    Then a worker of "d1" serves again within 20 s
