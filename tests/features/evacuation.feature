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

  Scenario: a node asks the store once nobody proves what it knows
    Given a node that knows 3 nodes in each of the domains "a, b, c"
    And it watches a store that lists "a"
    When 2000 ms pass
    Then it has not asked the store again
    When 1600 ms pass
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
    When 10000 ms pass
    Then no domain is evacuated

  # Three busy shards leave a node for two others, one of which is busy.
  Scenario: shards leave an evacuated node for those that have room
    Given an evacuated node with 3 busy shards, a busy successor and an idle node
    Then its shards go to the idle node

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
