Feature: A request that was read is answered, and nothing ends unsaid

  # Guards against connections that end unsaid for an error of another call.
  Scenario: a connection is kept when the application fails with a system error
    Given a server of callers whose application fails with a system error
    When a caller sends a request on a kept connection
    Then it is answered with status 500

  # Guards against requests that run though their answer can't be sent.
  Scenario: a request that crosses the close of an idle connection is not run
    Given a server of callers
    And a caller whose connection is idle after an answer
    When its next request comes while the server is closed
    Then every request that ran was answered

  # Guards against connections that end under a request without a line.
  Scenario: a caller that goes away is told of in the log
    Given a server of callers whose answer is long
    When a caller sends a request and resets its connection
    Then event "caller-lost" names the request and "ConnectionResetError"

  # Guards against resets by the door without a line.
  Scenario: an answer that is cut is told of in the log
    Given a door whose answer ends early
    When a caller sends a request on a kept connection
    Then its connection is reset
    And event "answer-cut" names the request and "the link was lost"

  # Guards against the beginning of an answer being taken for the whole.
  Scenario: an answer of no length that breaks off does not look whole
    Given a server of callers whose application fails midway
    When a caller of HTTP/1.0 sends a request
    Then its connection is reset

  # Guards against work for callers that left while a link was being made.
  Scenario: a request is not passed on once its caller has gone
    Given a router whose callers leave while a link is made
    When a request is sent through it
    Then nothing went over that link
    And the request ends as not run

  # Guards against a reset after the last byte of an answer.
  Scenario: an answer that the caller has whole is not broken any more
    Given a door whose link is lost after the last byte of an answer
    When a caller sends a request on a kept connection
    Then it is answered with status 200
    And its connection is kept

  # Guards against a door that one connection it can't take closes for good.
  Scenario: callers are served again after no descriptor was left
    Given a server of callers
    When no descriptor is left for a while as a caller connects
    And a caller sends a request on a kept connection
    Then it is answered with status 200
