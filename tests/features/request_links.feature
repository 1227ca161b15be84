Feature: Links between nodes that go silent, are slow or break the protocol

  Scenario: a silent link fails what it owes, and a new one serves meanwhile
    Given a peer that falls silent on its first connection
    When a call waits on the silent link
    And another call is made once the link is suspect
    Then the other call is answered over a second connection
    And the call that waits fails with LinkLostError

  # Guards against answers lost with links that had only been idle.
  Scenario: a link that carried nothing for long is kept under the next call
    Given a peer that answers calls and reads no bodies
    When a call is made after the link carried nothing for 1300 ms
    And it is answered 500 ms later
    Then the call is answered
    And one link was made

  # Guards against answers lost with all links after a pause of the process.
  Scenario: a link is kept when its own process stood still
    Given a peer that answers calls and reads no bodies
    When the process stands still for 1300 ms under a call
    Then the call is answered
    And one link was made

  # Guards against 504 for answers that lie unread in the socket.
  Scenario: a call takes an answer that came before its time was over
    Given a peer that falls silent on its first connection
    When a call waits on the silent link for 700 ms
    And its answer comes and the process stands still for 500 ms
    Then the call is answered

  # Guards against answers cut midway by a link that is slow to carry them.
  Scenario: an answer that has begun is kept while its link is silent
    Given a peer that falls silent on its first connection
    When an answer begins on the silent link and goes on 2000 ms later
    Then the call takes the whole answer

  # Guards against requests that can't be sent again being given up early.
  Scenario: a call that can't be repeated is kept while its link is silent
    Given a peer that falls silent on its first connection
    When a patient call on the silent link is answered after 2000 ms
    Then the patient call is answered

  # Guards against requests sent into a link that nobody hears.
  Scenario: a silent peer that takes no new link gets no more calls
    Given a peer that falls silent on its first connection
    When a call waits on the silent link
    And the peer takes no more connections
    And another call is made once the link is given up
    Then the other call fails with LinkRefusedError

  # Guards against half a message on a link, which spoils all that follows.
  Scenario: a sender that is ended while it sends spoils nothing on its link
    Given a peer that reads slowly and answers calls
    When a sender is ended while the link takes no more
    Then other calls are answered
    And one link was made

  # Guards against a dead link that is kept for ever.
  Scenario: a silent link is lost though calls on it are short and seldom
    Given a peer that falls silent on its first connection
    When calls that wait for 50 ms are made 300 ms apart
    Then one of them is answered over a second connection

  # Guards against answers lost when a node joins anew.
  Scenario: links that are released end after the calls on them
    Given a peer that answers calls and reads no bodies
    When its links are released under a call of 500 ms
    Then the call is answered
    And the link of the call is closed afterwards

  Scenario: a peer that refuses links is left alone for a while
    Given a peer whose address refuses connections
    When 5 calls are made one after the other
    Then it was dialled once
    When 300 ms have passed and 2 calls are made
    Then it was dialled 2 times in all

  Scenario: senders blocked on a dead connection fail
    Given a peer that falls silent on its first connection
    When 64 streams send more than the connection takes
    Then all of them fail with LinkLostError

  Scenario: a call whose caller has gone ends in a log line
    Given a peer that answers calls and reads no bodies
    When a caller leaves before its call is answered
    Then the peer logs that the answer has no receiver
    And other calls are answered

  Scenario: a stream that nobody reads stalls no other
    Given a peer that answers calls and reads no bodies
    When a stream sends bodies until its window is closed
    Then other calls are answered
    And the stream sent no more than its window and one chunk

  # Guards against a watch of links that a fault at one of them ends for all.
  Scenario: a silent link is noticed after a fault at another link
    Given a peer that falls silent on its first connection
    When a call waits on the silent link
    And the look at another link fails
    Then the call that waits fails with LinkLostError

  Scenario Outline: a peer that breaks the protocol loses only that link
    Given a peer that answers calls and reads no bodies
    When a link sends <what>
    Then that link is closed
    And other calls are answered

    Examples:
      | what                        |
      | bytes that are no CBOR      |
      | a message of unknown kind   |
      | a frame that is too large   |
      | more than the window allows |

  Scenario Outline: the sender of a body hears seldom how much was read
    When a body of <parts> parts of <size> bytes is sent while it is read
    Then the sender was told of what was read <told> times at the most

    Examples:
      | parts | size    | told |
      | 3     | 32768   | 0    |
      | 64    | 32768   | 16   |
      | 9     | 300000  | 9    |
