Feature: How an answer of the worker ends

  Scenario Outline: an answer without a length that ends with <end> is <what>
    Given a worker that sends half of an answer without a length
    When the half is read and the worker ends the connection with <end>
    Then the answer is <what>

    Examples:
      | end             | what  |
      | a reset         | cut   |
      | an ordinary end | whole |

  # Guards against answers broken off halfway that look whole.
  Scenario Outline: three bytes after <head> are <what>
    Given a worker that answers with "<head>" and three bytes
    When the answer to a request is read whole, up to 100 bytes
    Then it is <what>

    Examples:
      | head                                            | what  |
      | Content-Length: 3                               | whole |
      | Content-Length: 3, Content-Length: 3            | whole |
      | Content-Length: 5                               | cut   |
      | Content-Length: 5, Content-Length: 3            | cut   |
      | Content-Length: 3;3                             | cut   |
      | Content-Length: 5;5                             | cut   |
      | Content-Length: +5                              | cut   |
      | Content-Length: -1                              | cut   |
      | Content-Length: 0x3                             | cut   |
      | Content-Length:                                 | cut   |
      | Transfer-Encoding: chunked                      | cut   |
      | Transfer-Encoding: gzip;chunked                 | cut   |
      | Transfer-Encoding: gzip, Content-Length: 3      | cut   |
      | Transfer-Encoding: chunked, Content-Length: 3   | cut   |

  # Guards against a late second copy of an answer, given to the next caller.
  Scenario Outline: on a connection that is <use>, <status> with <headers> is <what>
    Given a connection to the platform's worker that is <use>
    When it answers "own" with <status> and "<headers>"
    Then that answer is <what>

    Examples:
      | use        | status | headers                             | what    |
      | new        | 200    | Attempt-Id: own, Response-Stamp: s  | taken   |
      | new        | 200    | Attempt-Id: else, Response-Stamp: s | refused |
      | new        | 200    | Response-Stamp: s                   | refused |
      | new        | 200    | Attempt-Id: own                     | refused |
      | new        | 503    | Not-Executed: 1                     | taken   |
      | new        | 503    | Attempt-Id: else, Not-Executed: 1   | refused |
      | used again | 200    | Attempt-Id: own, Response-Stamp: s  | taken   |
      | used again | 503    | Attempt-Id: own, Not-Executed: 1    | taken   |
      | used again | 503    | Not-Executed: 1                     | refused |
      | used again | 421    | Not-Executed: 1                     | refused |
      | used again | 500    | Response-Stamp: s                   | refused |

  Scenario Outline: a refusal with the load <load> is <kind>
    When the platform's worker refuses a request with <status> and load "<load>"
    Then that is read as "<kind>"

    Examples:
      | status | load    | kind      |
      | 503    | 18,3,18 | refused   |
      | 503    | 18,0,18 | refused   |
      | 503    | 4,1,18  | refused   |
      | 503    | 4,0,18  | rejected  |
      | 429    | 4,0,18  | rejected  |
      | 503    | 4,0     | refused   |
      | 503    | -       | refused   |
      | 421    | 4,0,18  | not-owner |

  Scenario: a connection is given back once
    Given a worker that answers every request on a connection
    When the answer to a request is given back twice and closed
    And 2 requests are sent to it before the first is read
    Then it was connected to 2 times

  Scenario: requests that follow each other share one connection
    Given a worker that answers every request on a connection
    When 5 requests are sent to it and read one after the other
    Then it was connected to once

  # Guards against workers that fill the memory or the time of a node.
  Scenario Outline: bytes without end in <where> are given up within a bound
    Given a worker whose answers have no end in <where>
    When the answer to a request is read whole, up to 100000 bytes
    Then it is cut
    And the worker could send less than 20000000 bytes
    And other tasks went on meanwhile

    Examples:
      | where               |
      | the status line     |
      | interim answers     |
      | a header            |
      | the headers         |
      | the size of a chunk |
      | the trailers        |
      | a body of no length |
      | a chunked body      |

  # Guards against heads that come a byte at a time for ever.
  Scenario: a head that trickles is given up when the time is over
    Given a worker whose heads come a byte every 20 ms
    When the answer to a request with 300 ms left is awaited
    Then it is given up as late after at most 600 ms
