Feature: No work is begun or kept up for callers that have left

  # Guards against a watch that one bad connection or handler ends for all.
  Scenario Outline: the leaving of a caller is noticed after another's fault
    Given callers that are watched
    When <what>
    And a caller closes its connection
    Then its leaving is noticed within 500 ms

    Examples:
      | what                                                      |
      | another caller leaves                                     |
      | another caller's connection is closed before it is watched |
      | what is done for another caller that left fails           |

  # Guards against callers whose leaving hides behind bytes they sent before.
  Scenario Outline: a caller that sent more before it left is noticed
    Given callers that are watched
    When a caller sends its next request and <leaves>
    Then its leaving is noticed within 500 ms

    Examples:
      | leaves                |
      | closes its connection |
      | resets its connection |
      | ends its side         |

  # Guards against work of which a caller's leaving is told too late or never.
  Scenario: what is to be done when a caller leaves is done for one that has left
    Given callers that are watched
    When a caller closes its connection
    And its leaving is noticed
    And it is said what is to be done when it leaves
    Then it is done

  # Guards against requests that are sent on after their callers left (GONE).
  Scenario Outline: a request whose caller leaves is not tried any more
    Given a router on <where> whose caller leaves <when>
    When its request is sent
    Then no gate was given it after its caller had left
    And the request ends as not run

    Examples:
      | where              | when                         |
      | the worker's node  | before the first try         |
      | the worker's node  | while it waits for an owner  |
      | the worker's node  | during the first try         |
      | another node       | before the first try         |
      | another node       | while it waits for an owner  |
      | another node       | during the first try         |

  # Guards against work that goes on since its caller left while it was sent.
  Scenario: a request whose caller leaves while it is being sent is cancelled
    Given a router on another node whose caller leaves while it is sent
    When its request is sent
    Then the gate that was given it is told to cancel it
