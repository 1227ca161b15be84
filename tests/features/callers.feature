Feature: Every request that was read is answered or reported as failed

  # An OSError of the application must not be taken for a lost caller, whose
  # connection is closed without an answer.
  Scenario: a request is answered when the application raises an OSError
    Given an HTTP server whose application raises an OSError
    When a caller sends a request on a persistent connection
    Then it is answered with status 500

  # Guards against requests that run although their answer can't be sent.
  Scenario: a request that arrives while its idle connection closes is not run
    Given an HTTP server
    And a caller whose connection is idle after an answer
    When its next request arrives while the server is closed
    Then every request that ran was answered

  # Guards against resets of callers that connect while a node stops.
  Scenario Outline: a caller that connects while the server is closed is answered
    Given an HTTP server
    When another caller <does> as the server is closed
    Then it is answered with status 200
    And the server accepts no more connections

    Examples:
      | does                                       |
      | connects and sends a request               |
      | that has connected sends its first request |

  # Guards against connections that are lost during a request without an event.
  Scenario: a caller that disconnects is logged
    Given an HTTP server with a long answer
    When a caller sends a request and resets its connection
    Then event "caller-lost" contains the request id and "ConnectionResetError"

  # Guards against resets by the ingress without an event.
  Scenario: an answer that is cut is logged
    Given an ingress whose link is lost within an answer
    When a caller sends a request on a persistent connection
    Then its connection is reset
    And event "answer-cut" contains the request id and "the link was lost"

  # Without a length, an orderly end would make a partial answer look complete.
  Scenario: an aborted answer without a length does not look complete
    Given an HTTP server whose application fails within the body
    When an HTTP/1.0 caller sends a request
    Then its connection is reset

  # Guards against work for callers that disconnected while a link was opened.
  Scenario: a request is not forwarded once its caller has disconnected
    Given a router whose caller disconnects while a link is opened
    When a request is sent through it
    Then nothing was sent over that link
    And the request fails as not run

  # Guards against a reset after the last byte of an answer.
  Scenario: a link that is lost after a complete answer does not reset it
    Given an ingress whose link is lost after the last byte of an answer
    When a caller sends a request on a persistent connection
    Then it is answered with status 200
    And its connection stays open

  # Guards against a server that stops accepting after one failed accept.
  Scenario: callers are served again after the file descriptors ran out
    Given an HTTP server
    When a caller connects while no file descriptor is available
    And a caller sends a request on a persistent connection
    Then it is answered with status 200

  # Guards against an answer that goes on after its deadline while parts come.
  Scenario: an answer whose parts keep coming is cut at its deadline
    When an answer with 200 ms left is read, and its parts come for 2000 ms
    Then it is cut within 500 ms

  # Guards against an answer that is cut although its parts had come in time.
  Scenario: an answer that came in time is read whole by a process that was busy
    When an answer with 50 ms left has come whole, and is read after 300 ms
    Then it is whole
