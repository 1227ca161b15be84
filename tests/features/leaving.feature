Feature: No work is started or continued for callers that have disconnected

  # Guards against a fault of one connection or handler that ends the detection
  # of disconnects for all callers.
  Scenario Outline: a disconnect is detected after a fault of another caller
    Given callers whose connections are watched
    When <what>
    And a caller closes its connection
    Then its disconnect is detected within 500 ms

    Examples:
      | what                                                       |
      | another caller disconnects                                 |
      | another caller's connection is closed before it is watched |
      | the handler for another caller's disconnect fails          |

  # Guards against disconnects that stay hidden behind bytes sent before them.
  Scenario Outline: the disconnect of a caller that sent more is detected
    Given callers whose connections are watched
    When a caller sends its next request and <leaves>
    Then its disconnect is detected within 500 ms

    Examples:
      | leaves                |
      | closes its connection |
      | resets its connection |
      | ends its side         |

  # Guards against handlers that are called too late or never, so that work
  # continues for a caller that has disconnected.
  Scenario: a handler that is set after the disconnect is called
    Given callers whose connections are watched
    When a caller closes its connection
    And its disconnect is detected
    And a handler for its disconnect is set
    Then the handler has been called

  # Guards against requests that are forwarded after their callers have
  # disconnected (GONE).
  Scenario Outline: a request whose caller disconnects is not tried again
    Given a router on <where> whose caller disconnects <when>
    When its request is sent
    Then no gate received it after its caller had disconnected
    And the request fails as not run

    Examples:
      | where              | when                         |
      | the worker's node  | before the first try         |
      | the worker's node  | while it waits for an owner  |
      | the worker's node  | during the first try         |
      | another node       | before the first try         |
      | another node       | while it waits for an owner  |
      | another node       | during the first try         |

  # Guards against work that continues because its caller disconnected while the
  # request was being sent.
  Scenario: a request whose caller disconnects while it is sent is cancelled
    Given a router on another node whose caller disconnects while it is sent
    When its request is sent
    Then the gate that received it is told to cancel it
