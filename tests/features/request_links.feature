Feature: Links between nodes that are silent, slow or break the protocol

  Scenario: calls on a silent link fail, while a new link serves other calls
    Given a peer whose first connection becomes silent
    When a call waits for a reply on the silent link
    And another call is made once the link is suspect
    Then the other call is answered over a second connection
    And the waiting call fails with LinkLostError

  # Guards against lost answers because an idle link is taken for a silent one.
  Scenario: a link that was idle for long stays open during the next call
    Given a peer that answers calls but does not read bodies
    When a call is made after the link was idle for 1300 ms
    And it is answered 500 ms later
    Then the call is answered
    And one link was opened

  # Guards against closing all links after a pause of the process.
  Scenario: a link stays open when the process was paused
    Given a peer that answers calls but does not read bodies
    When the process is paused for 1300 ms during a call
    Then the call is answered
    And one link was opened

  # Guards against status 504 although the answer is in the socket buffer.
  Scenario: a call receives an answer that arrived before its timeout
    Given a peer whose first connection becomes silent
    When a call waits 700 ms for a reply on the silent link
    And the reply arrives and the process is paused for 500 ms
    Then the call is answered

  # Guards against answers that are truncated because the link is slow.
  Scenario: an answer that has started does not fail while its link is silent
    Given a peer whose first connection becomes silent
    When an answer starts on the silent link and continues 2000 ms later
    Then the call receives the whole answer

  # Guards against early failure of requests that can't be retried, or not any
  # more: their answer may still come, and nothing else can.
  Scenario Outline: a call that can't be retried does not fail while its link is silent
    Given a peer whose first connection becomes silent
    When a call on the silent link, non-retryable after <final> ms, is answered after 2000 ms
    Then the non-retryable call is answered

    Examples:
      | final |
      | 0     |
      | 300   |

  # Guards against requests that are sent on a failed link.
  Scenario: a silent peer that refuses new links gets no more calls
    Given a peer whose first connection becomes silent
    When a call waits for a reply on the silent link
    And the peer refuses further connections
    And another call is made once the link is considered failed
    Then the other call fails with LinkRefusedError

  # Guards against a partial frame, after which no frame can be parsed.
  Scenario: a sender that is killed while it sends does not corrupt its link
    Given a peer that reads slowly and answers calls
    When senders are killed while the link is blocked
    Then other calls are answered
    And the link of the senders is still open

  # Guards against a dead link that is never closed.
  Scenario: a silent link is closed although calls on it are short and rare
    Given a peer whose first connection becomes silent
    When calls with a timeout of 50 ms are made 300 ms apart
    Then one of them is answered over a second connection

  # Guards against answers that are lost when a node rejoins.
  Scenario: released links are closed after the calls on them
    Given a peer that answers calls but does not read bodies
    When its links are released during a call of 500 ms
    Then the call is answered
    And the link of the call is closed afterwards

  Scenario: a peer that refuses links is not dialled again at once
    Given a peer whose address refuses connections
    When 5 calls are made one after the other
    Then one connection was attempted
    When 300 ms have passed and 2 calls are made
    Then 2 connections were attempted in total

  Scenario: senders blocked on a dead connection fail
    Given a peer whose first connection becomes silent
    When 64 streams send more than the connection can buffer
    Then all of them fail with LinkLostError

  Scenario: the reply to a caller that has disconnected is logged
    Given a peer that answers calls but does not read bodies
    When a caller disconnects before its call is answered
    Then the peer logs that the answer could not be delivered
    And other calls are answered

  Scenario: a stream that is not read does not block others
    Given a peer that answers calls but does not read bodies
    When a stream sends bodies until its window is exhausted
    Then other calls are answered
    And the stream sent no more than its window and one chunk

  # Guards against an exception in one check that ends the checks of all links.
  Scenario: a silent link is detected after a fault at another link
    Given a peer whose first connection becomes silent
    When a call waits for a reply on the silent link
    And the check of another link fails
    Then the waiting call fails with LinkLostError

  # Guards against a request that is sent again and arrives late as well.
  Scenario: what arrives on a link after it was replaced is not run
    Given a peer that answers calls but does not read bodies
    When a call of 300 ms is sent on a link
    And another link replaces it
    And one more call is sent on the replaced link
    Then only the first call was received and is answered on the replaced link

  # Guards against links that stay open for ever because their end was lost.
  Scenario Outline: a link that was <side> is closed once idle for long
    Given a peer that answers calls but does not read bodies
    When a link that was <side> has been idle for <open> ms
    Then that link is still open
    When it has been idle for 1000 ms more
    Then that link is not open any more

    Examples:
      | side     | open   |
      | opened   | 59500  |
      | accepted | 119500 |

  # Guards against the end of a link whose streams all end between two checks.
  Scenario: an accepted link that is used between its checks stays open
    Given a peer that answers calls but does not read bodies
    When a link that was accepted has been idle for 119500 ms
    And it is used, and has been idle for 1000 ms more
    Then that link is still open

  # Guards against calls on a link that the peer no longer accepts them on.
  Scenario: a link whose replacement was not answered gets no more calls
    Given a peer whose first connection becomes silent
    And whose second connection is not answered
    When a call waits for a reply on the silent link
    And the silent link carries data again after its replacement has failed
    And another call is made
    Then it is answered over a third connection

  # Guards against a request that waits on a link that its peer has retired.
  Scenario: a link is replaced although its replacement was not answered at first
    Given a peer whose first connection becomes silent
    And whose second connection is not answered
    When a call waits for a reply on the silent link
    And the silent link carries data again after its replacement has failed
    Then a third connection is opened without another call

  # Guards against requests that wait for their way to a node beyond their
  # deadline, and against "not run" for one of which a part was sent.
  Scenario: requests on a blocked link end within their time
    Given a peer whose first connection becomes silent
    When requests of 1000000 bytes are sent on it within 100 ms each until one was not sent
    Then it ended within 500 ms, and one before it may have been sent

  # Guards against a blocked link that the one check of all links waits for.
  Scenario: a link that is blocked by many requests is closed in time
    Given a peer whose first connection becomes silent
    When 200 requests of 130000 bytes are sent on it at the same time within 800 ms each
    Then its link is closed within 6000 ms

  # Guards against reading that waits until the link takes what tells so.
  Scenario: a body is read in time although its link is blocked
    Given a peer whose first connection becomes silent
    When 64 requests of 130000 bytes are sent on it at the same time within 200 ms each
    And a body of 524288 bytes is read on it within 1000 ms
    Then reading has ended in time

  # Guards against a link that is never made since no call waits long enough.
  Scenario: a peer that is slow to accept gets one link
    Given a peer that answers the handshake after 450 ms
    When 3 calls with a timeout of 400 ms are made to it
    Then the last call was answered, over one connection

  # Guards against a request that fails although its peer is of an earlier version.
  Scenario: a silent link is replaced at a peer that knows no replacement
    Given a peer whose first connection becomes silent
    When a call on the silent link, non-retryable after 0 ms, is answered after 2000 ms
    And another call is made once the link is suspect
    Then the non-retryable call is answered

  Scenario Outline: a protocol violation closes only the link it occurs on
    Given a peer that answers calls but does not read bodies
    When a link sends <what>
    Then that link is closed
    And other calls are answered

    Examples:
      | what                        |
      | bytes that are not CBOR     |
      | a message of unknown kind   |
      | a frame that is too large   |
      | more than the window allows |

  Scenario Outline: the receiver of a body sends few credits
    When a body of <parts> parts of <size> bytes is sent while it is read
    Then the sender received at most <credits> credits

    Examples:
      | parts | size    | credits |
      | 3     | 32768   | 0       |
      | 64    | 32768   | 16      |
      | 9     | 300000  | 9       |
