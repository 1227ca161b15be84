Feature: Admission of requests at the gate of a node
  A worker gets a new shard with its next grants.  A request that can still run
  after them waits; any other is returned at once with a time for a retry.

  Background:
    Given a gate whose worker receives its next grants in 300 ms

  Scenario: a request with enough time waits for the grant and runs
    When a request arrives with 1000 ms to its deadline
    Then it was answered by the worker after 300 ms

  Scenario: a request with too little time left is returned at once
    When a request arrives with 400 ms to its deadline
    Then it was returned as "not-owner" at once
    And its caller may retry after 450 ms

  Scenario: a request stops waiting when its shard moves to another owner
    Given the shard is closed after 100 ms
    When a request arrives with 1000 ms to its deadline
    Then it was returned as "not-owner" after 100 ms

  # In a large fleet, an ingress may not know of a move yet.
  Scenario: a request for a moved shard is answered with the new shard record
    Given the gate knows that the shard has moved to "b#1"
    When a request arrives with 1000 ms to its deadline
    Then the first message was the shard record with owner "b#1"
    And it was returned as "not-owner" at once

  # Guards against requests of other nodes that take a node over its VM's memory.
  Scenario: a body that came with the request of another node counts as memory
    Given bodies of 80000 bytes in memory for 100000 bytes
    When a request of another node arrives with a body of 30000 bytes
    Then it was returned as "overloaded" at once
    When a request of this node arrives with a body of 30000 bytes
    Then it was answered by the worker after 300 ms
    And bodies of 80000 bytes are in memory again

  Scenario Outline: a body of <size> bytes announced with <announced> and ended with <ended> is <received>
    When the gate receives <size> bytes announced with <announced> and ended with <ended>
    Then the announced body is <received>

    Examples:
      | size  | announced | ended | received |
      | 20000 | 20000     | 20000 | whole    |
      | 20000 | 20000     | 19999 | refused  |
      | 20000 | 19999     | 20000 | refused  |
      | 20000 | 20001     | 20000 | refused  |

  # Guards against bodies and answers that stay until garbage is collected.
  Scenario: the two ends of an exchange do not keep each other in memory
    When an exchange inside one node has ended with a message unread
    Then nothing of it is in memory

  # Guards against answers that are lost when the process of a node ends.
  Scenario: a request that arrives after the gate was closed is returned
    Given the gate is closed for a planned stop of its node
    When a request without a shard arrives
    Then it was returned as "not-owner" at once

  Scenario: a request in an evacuated failure domain is returned
    Given the failure domain of the gate is evacuated
    When a request without a shard arrives
    Then it was returned as "not-owner" at once

  Scenario: an owner in an evacuated failure domain still serves its shards
    Given the failure domain of the gate is evacuated
    When a request arrives with 1000 ms to its deadline
    Then it was returned as "not-owner" at once
    Given its owners still serve
    When a request without a shard arrives
    Then it was returned as "not-owner" at once
    When a request arrives with 1000 ms to its deadline
    Then it was answered by the worker after 300 ms

  # Its grant or slot may come long after the request.
  Scenario: a request that waits is not run once owners have to end
    Given the failure domain of the gate is evacuated
    And its owners serve for 100 ms more
    When a request arrives with 1000 ms to its deadline
    Then it was returned as "not-owner" after 300 ms

  # Guards against callers that wait for the answer of a failed task.
  Scenario: a request whose task fails is answered at once
    Given the gate raises an exception when it runs a request
    When a request without a shard arrives
    Then it failed at once with kind "fault" and may have run

  # Guards against queue entries of callers that have disconnected.
  Scenario: a waiting request leaves the queue when its caller disconnects
    Given the gate runs as many requests as its worker has slots
    When one more request arrives and its caller disconnects
    Then no request waits at the gate
    And the cancelled request did not run

  # Guards against exceptions for requests that are cancelled on their way.
  Scenario: a request that is cancelled before it arrives ends without an error
    Given the gate runs as many requests as its worker has slots
    When a request arrives that is already cancelled
    Then no request waits at the gate
    And the cancelled request did not run
    And the only event logged is "run-cancelled"

  # Guards against slots that are held by downloads to slow callers (issue 30).
  Scenario: an answer that is sent slowly holds no slot of the worker
    Given a gate whose answers are blocked on the way to the caller
    When one more request arrives than its worker has slots
    Then the worker has answered all of them
    And the gate counts all of them until their answers are sent

  # Guards against slots of the worker that are kept by answers on their way:
  # downloads had half of them, and calls waited (SHORT, issue 60).
  Scenario Outline: a long answer is read while its parts wait to be sent
    Given an answer of <parts> parts of 32768 bytes to a caller that does not read
    Then <read> parts of it are read within 300 ms
    And all <parts> parts are sent in order once the caller reads

    Examples:
      | parts | read |
      | 16    | 16   |
      | 40    | 33   |

  # Without the rank, a returned call and a returned download look alike.
  Scenario Outline: the event about a returned request contains its rank
    Given the gate is closed for a planned stop of its node
    When a request of rank <rank> arrives
    Then the event about it contains rank <rank>

    Examples:
      | rank |
      | 0    |
      | 2    |

  # When requests are shed, the load of all gates shows which had free slots.
  Scenario: a gate reports the requests that it admitted and shed
    Given the gate runs as many requests as its worker has slots
    When 9 more requests of one key arrive within 500 ms
    And the gate reports its load
    Then it reported 4 busy slots, 4 requests admitted and 5 shed
    And of class "ordinary" it reported let_in=4 shed=5 wait_ms=0 head_ms=0 slot_ms=0

  # Without the classes, a second with many refusals did not show whether the
  # answers were late at the door, in the queue or at the worker.
  Scenario: a door reports what it answered of each service and rank
    Given requests of rank 2 with an objective of 800 ms
    When a door answers them after 100, 700, 900 and 1200 ms, and refuses 1
    Then it reported in_time=2 late=2 refused=1 failed=0 served_ms=725 of "s 2"

  # Guards against leaving a restarted worker idle: its gate went on with the
  # limit to which the losses of the instance before had lowered it.
  Scenario: a gate gives another instance of the worker all its slots
    Given a gate that has lost 40 answers of its worker
    Then of 3 requests the gate runs 1 at once
    When another instance of the worker has begun
    Then of 3 requests the gate runs 3 at once
