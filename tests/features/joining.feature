Feature: The configuration of a node that joins
  A node reads the latest configuration from the store before it serves, and
  keeps a later one that it had in an earlier incarnation.

  # Guards against nodes that begin to serve with an older copy of a peer.
  Scenario: a node answers 503 until it has the configuration of the store
    Given a store with generation 3 that does not answer yet
    When a node begins to join
    Then it answers 503 and is not ready
    When its store answers
    Then it is ready within 3 s, with generation 3

  # Guards against a node that returns to an older configuration when it joins
  # anew, if the store was read just before the change and rejects its watches.
  Scenario: a node that joins anew keeps the later configuration that it has
    Given a store with generation 3
    And a node that has joined
    When generation 4 comes into force on it while the store's list is older
    And it joins anew
    Then generation 4 is in force on it

  # Guards against a node that never joins: the store came back from a copy of
  # before its join, and every further write of it was a conflict (review/4).
  Scenario: a node whose join the store has forgotten joins again
    Given a store with generation 3 that forgets a join before its list is read
    When a node begins to join
    Then it is ready within 2 s, with generation 3

  # Guards against a node that ends at each start, since the store has its record
  # in a form that is not known.
  Scenario: a node whose record is of an unknown form joins once it is removed
    Given a store with generation 3
    And its record of the node is of an unknown form
    When a node begins to join
    Then it answers 503 and is not ready
    And "record-refused" was logged once
    When the record is removed
    Then it is ready within 2 s, with generation 3

  # Guards against requests to a worker that an earlier process of its node has
  # told that its leaving is known: a late report took it back (DRAIN, review/7).
  Scenario Outline: a node that starts knows that its worker has <left>
    Given a store with generation 3
    And a node that has joined
    And its worker has <left>, which was answered
    When the process of the node is killed, and another one joins
    And an earlier report of the worker arrives
    Then its worker may not be sent requests, and its record says so
    When the worker has started again under its id and reports
    Then its worker may be sent requests

    Examples:
      | left                                |
      | deregistered                        |
      | deregistered before its first report |
      | reported that it is draining        |

  # Guards against a worker that waits in vain: the store may be away.
  Scenario: a worker that leaves is answered in time while the store is away
    Given a store with generation 3
    And a node that has joined
    And its store does not answer
    When its worker has deregistered, which was answered
    Then that took less than 1000 ms
    And "departure-unrecorded" was logged once
