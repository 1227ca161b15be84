Feature: Balance of shards against churn
  Decisions only, on a clock of the test's own.

  Scenario: a node that joins gets its part once it has settled
    Given shards 0 to 11 on "a" and 12 to 23 on "b"
    When the node "c" joins
    And the planners of all nodes run for 500 ms
    Then "c" has 0 shards
    When the planners of all nodes run for 1000 ms
    Then each node has 8 shards

  Scenario Outline: only a node that does not come again and again is steady
    When a node comes <times> times within a minute
    Then it is <how>

    Examples:
      | times | how        |
      | 1     | steady     |
      | 4     | steady     |
      | 5     | not steady |

  Scenario: a node that flaps gets its shards later each time
    Given shards 0 to 11 on "a" and 12 to 23 on "b"
    When the node "c" joins and goes 5 times within 10 s
    And the node "c" joins
    And the planners of all nodes run for 3000 ms
    Then 0 shards were moved
    When the planners of all nodes run for 40000 ms
    Then each node has 8 shards

  Scenario: a shard moves if the gain outlives its cold start
    Given shards 0 to 3 on "a" and 4 to 7 on "b"
    And shards with these loads in slots
      | 0 | 1 |
      | 4 | 4 |
    And cold starts of 2000 ms
    When the planners of all nodes run for 120000 ms
    Then 1 shard was moved
    And the shard 0 or 1 is on "b"

  Scenario: a shard stays if its cold start costs more than the move gains
    Given shards 0 to 3 on "a" and 4 to 7 on "b"
    And shards with these loads in slots
      | 0 | 1 |
      | 4 | 4 |
    And cold starts of 60000 ms
    When the planners of all nodes run for 120000 ms
    Then 0 shards were moved

  Scenario: a service that weighs churn most keeps what another moves
    Given shards 0 to 3 on "a" and 4 to 7 on "b"
    And shards with these loads in slots
      | 0 | 1 |
      | 4 | 4 |
    And cold starts of 2000 ms
    And a weight of 20 for churn
    When the planners of all nodes run for 120000 ms
    Then 0 shards were moved

  Scenario: one shard too hot for any node is not passed around
    Given shards 0 to 3 on "a" and 4 to 7 on "b"
    And shards with these loads in slots
      | 0  |
      | 12 |
    When the planners of all nodes run for 300000 ms
    Then 0 shards were moved

  Scenario Outline: the noise of a steady load moves next to nothing
    Given 10 nodes with 60 shards that move as on the platform
    And steady requests that keep <busy> in 100 slots of each node busy
    When the planners of all nodes run for 60000 ms
    Then at most 6 shards were moved

    Examples:
      | busy |
      | 40   |
      | 60   |
      | 75   |

  # Guards against churn by noise: few slots and long work measure badly.
  Scenario: the noise of few long requests moves next to nothing
    Given 68 nodes with 272 shards that move as on the platform
    And they have 7 slots, work of 300 ms and know the load of 6 others
    And steady requests that keep 95 in 100 slots of each node busy
    When the planners of all nodes run for 20000 ms
    Then at most 9 shards were moved

  Scenario: moves for the load are bounded and never bounce
    Then no loads make a shard bounce or a node move too much

  Scenario: a load that swings makes no shard swing with it
    Given shards 0 to 3 on "a" and 4 to 7 on "b"
    When the load swings between "a" and "b" every 5 s for 60 s
    Then no shard was moved more than 2 times

  Scenario: reports fade towards the mean
    Given a report of load 9 for shard 4 of "b", and of 1 for shard 5
    Then the load of shard 4 is believed to be 9
    And after 60 s the load of shard 4 is believed to be 5

  Scenario: the hottest keys are found among many
    When 20000 requests of 5000 keys come, where 100 keys make up half
    Then 100 of the 100 hottest keys are found
    And no more than 1024 keys are kept

  Scenario: hot keys of before are forgotten within minutes
    When 20000 requests of 5000 keys come, where 100 keys make up half
    And other 100 keys make up half of 20000 requests 2 minutes later
    Then 100 of the 100 hottest keys are found

  Scenario: requests go to the less busy of two nodes
    Given nodes "a", "b" and "c" of a service without keys
    And "c" reported 20 requests in flight
    When 30 requests are spread and none ends
    Then each of "a" and "b" has at least 14 of them

  Scenario: a node of the door's failure domain is taken while it is not busy
    Given nodes "a", "b" and "c" of a service without keys
    And the door is in the failure domain of "b"
    When 10 requests are spread and none ends
    Then "b" has 10 of them
    When 30 requests are spread and none ends
    Then "b" has at most 24 of them

  # Guards against all doors of a domain choosing the same of its nodes.
  Scenario: doors that know nothing of the nodes near them use all of these
    Given 30 doors and 6 nodes without keys in one failure domain
    When each door sends 1 request
    Then each of the nodes has between 1 and 12 of them

  # Guards against near nodes that get all requests of many doors.
  Scenario Outline: near nodes get no more than an even share of the requests
    Given nodes "a", "b" and "c" of a service without keys
    And <doors> of 100 doors are in the failure domain of "b"
    When each of these doors sends 10 requests that are answered at once
    Then "b" has between <least> and <most> in 100 of them

    Examples:
      | doors | least | most |
      | 20    | 100   | 100  |
      | 33    | 100   | 100  |
      | 66    | 45    | 55   |
      | 100   | 30    | 37   |

  Scenario: a node that sheds is avoided for a while
    Given nodes "a", "b" and "c" of a service without keys
    When a request to "a" is shed
    Then none of 50 requests goes to "a"
    And after 2 s some of 50 requests go to "a"

  # Guards against nodes that are avoided for what their callers did.
  Scenario: a node is not avoided since a caller left
    Given nodes "a", "b" and "c" of a service without keys
    When the caller of a request to "a" leaves
    Then some of 50 requests of rank 1 go to "a"

  Scenario Outline: a node that has no room is open to what is more urgent
    Given nodes "a", "b" and "c" of a service without keys
    When a request of rank 1 to "a" fails as "<kind>"
    Then <how many> of 50 requests of rank <rank> go to "a"

    Examples:
      | kind       | rank | how many |
      | overloaded | 0    | some     |
      | overloaded | 1    | none     |
      | overloaded | 2    | none     |
      | refused    | 0    | none     |

  Scenario: a node that is not busy enough moves nothing for the load
    Given shards 0 to 3 on "a" and 4 to 7 on "b"
    And shards with these loads in slots
      | 0 | 1 | 2 | 3 |
      | 2 | 1 | 1 | 1 |
    And moves for the load only where 55 in 100 slots are busy
    When the planners of all nodes run for 60000 ms
    Then 0 shards were moved
