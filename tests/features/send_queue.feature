Feature: Large messages are sent one after the other
  All links of a process share a network connection: large messages that are
  sent too early delay short ones.

  Scenario: a large message is sent when those before it have arrived
    Given a send queue
    When 3 messages of 90000 bytes are queued
    Then 1 of them is sent
    When the first message arrives after 100 ms
    Then 2 of them are sent
    And another message would wait for 100 ms

  Scenario: messages that fit into the window are sent together
    Given a send queue
    When 3 messages of 30000 bytes are queued
    Then 2 of them are sent

  # Guards against calls whose short answers wait behind whole downloads that a
  # slow network connection has not carried yet (SHORT, issue 60).
  Scenario: the parts of long answers are sent one after the other at first
    Given a send queue
    When 3 messages of 32768 bytes are queued
    Then 2 of them are sent

  # Guards against downloads that are let in without end because answers that are
  # read already were not counted as work of the network (SHORT, issue 60).
  Scenario: answers that are read ahead count as queued
    Given a send queue
    And answers of rank 2 have 90000 bytes, and those of rank 1 have 300
    When 1 message of 90000 bytes is queued
    And the first message arrives after 100 ms
    And an answer of 180000 bytes is read ahead
    Then an answer of rank 2 would wait for 200 ms and one of rank 1 for 0 ms
    When that answer is given up
    Then an answer of rank 2 would wait for 0 ms and one of rank 1 for 0 ms

  # Guards against sending one message at a time on a network with a long delay.
  Scenario Outline: the window adapts to how fast messages arrive
    Given a send queue
    And 20 earlier messages that took <span> ms each
    When 8 messages of 90000 bytes are queued
    Then <sent> of them are sent

    Examples:
      | span | sent |
      | 35   | 8    |
      | 130  | 1    |

  Scenario: a peer that does not respond delays others for a limited time
    Given a send queue
    When 2 messages of 90000 bytes are queued
    And 200 ms pass for the send queue
    Then 2 of them are sent

  Scenario: a message that is cancelled leaves the queue
    Given a send queue
    When 3 messages of 90000 bytes are queued
    And the second message is cancelled
    And the first message arrives after 100 ms
    Then the last of them is sent

  # Guards against calls that wait for downloads on a slow network.
  Scenario: a short answer on one link overtakes large ones on others
    Given links to 2 peers
    When an answer of 90000 bytes is sent on each link
    Then peer 0 has received it and peer 1 has not
    When a short answer is sent to peer 1
    Then peer 1 has received the short answer
    When peer 0 reads all data
    Then peer 1 has received the long answer

  # Guards against slots that stay busy while an answer waits to be sent.
  Scenario: a slot is free while a large answer waits in the queue
    Given a gate whose answers wait to be sent
    When 6 requests arrive one after the other
    Then all requests ran

  Scenario: a full queue delays only requests with large answers
    Given a send queue
    And answers of rank 2 have 90000 bytes, and those of rank 1 have 300
    When 4 messages of 90000 bytes are queued
    And the first message arrives after 100 ms
    Then an answer of rank 2 would wait for 200 ms and one of rank 1 for 0 ms

  # Guards against downloads that are all late because all progress together.
  Scenario: an answer that was begun first is completed first
    Given a send queue
    And two answers of which the first parts of 65536 bytes are on their way
    When the next part of the second and then that of the first are queued
    And the first message arrives after 100 ms
    Then the next part of the first answer is sent and that of the second is not

  # Guards against downloads that get a slot and are not delivered in time
  # because the network connection, not the worker, has too much to do.
  Scenario Outline: a request whose answer could not leave in time gets no slot
    Given a gate with free slots whose answers of rank 2 wait <wait> ms to be sent
    When a request useful for <useful> ms and with <left> ms left arrives
    Then the request for a large answer is <what>

    Examples:
      | wait | useful | left | what     |
      | 700  | 800    | 3000 | served   |
      | 900  | 800    | 3000 | returned |
      | 700  | 1      | 3000 | served   |
      | 700  | 1      | 2000 | returned |

  # Guards against a copy of each body for which a link has no room yet.
  Scenario: requests that wait for a link hold no copy of their bodies
    Given links to 1 peers
    When 100 requests with a body of 100000 bytes wait for one link
    Then they take less than 2000000 bytes besides their bodies
