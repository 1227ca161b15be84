Feature: Answers of the worker, complete and truncated

  Scenario Outline: an answer without a length that ends with <end> is <outcome>
    Given a worker that sends half of an answer without a length
    When the half is read and the worker closes the connection with <end>
    Then the answer is <outcome>

    Examples:
      | end             | outcome   |
      | a reset         | truncated |
      | an ordinary end | complete  |

  # Guards against truncated answers that look complete.
  Scenario Outline: a body of three bytes after <head> is <outcome>
    Given a worker that answers with "<head>" and three bytes
    When the answer to a request is read completely, up to 100 bytes
    Then the body is <outcome>

    Examples:
      | head                                            | outcome   |
      | Content-Length: 3                               | complete  |
      | Content-Length: 3, Content-Length: 3            | complete  |
      | Content-Length: 5                               | truncated |
      | Content-Length: 5, Content-Length: 3            | truncated |
      | Content-Length: 3;3                             | truncated |
      | Content-Length: 5;5                             | truncated |
      | Content-Length: +5                              | truncated |
      | Content-Length: -1                              | truncated |
      | Content-Length: 0x3                             | truncated |
      | Content-Length:                                 | truncated |
      | Transfer-Encoding: chunked                      | truncated |
      | Transfer-Encoding: gzip;chunked                 | truncated |
      | Transfer-Encoding: gzip, Content-Length: 3      | truncated |
      | Transfer-Encoding: chunked, Content-Length: 3   | truncated |

  # Guards against a worker in trouble whose answer has a status that is none.
  Scenario Outline: a body of three bytes after status <status> is <outcome>
    Given a worker that answers with status "<status>" and three bytes
    When the answer to a request is read completely, up to 100 bytes
    Then the body is <outcome>

    Examples:
      | status | outcome   |
      | 000    | truncated |
      | 099    | truncated |
      | 101    | truncated |
      | 199    | truncated |
      | 200    | complete  |
      | 599    | complete  |
      | 600    | truncated |
      | 999    | truncated |
      | 20     | truncated |
      | 2000   | truncated |

  # Guards against sending a late duplicate of an answer to the next caller.
  Scenario Outline: on a <use> connection, an answer <status> with <headers> is <outcome>
    Given a connection to the platform's worker that is <use>
    When it answers "own" with <status> and "<headers>"
    Then that answer is <outcome>

    Examples:
      | use    | status | headers                             | outcome   |
      | new    | 200    | Attempt-Id: own, Response-Stamp: s  | accepted  |
      | new    | 200    | Attempt-Id: else, Response-Stamp: s | discarded |
      | new    | 200    | Response-Stamp: s                   | discarded |
      | new    | 200    | Attempt-Id: own                     | discarded |
      | new    | 503    | Not-Executed: 1                     | accepted  |
      | new    | 503    | Attempt-Id: else, Not-Executed: 1   | discarded |
      | reused | 200    | Attempt-Id: own, Response-Stamp: s  | accepted  |
      | reused | 503    | Attempt-Id: own, Not-Executed: 1    | accepted  |
      | reused | 503    | Not-Executed: 1                     | discarded |
      | reused | 421    | Not-Executed: 1                     | discarded |
      | reused | 500    | Response-Stamp: s                   | discarded |

  # Guards against a request that runs and is answered as refused: a late
  # duplicate of the refusal was taken for the answer to its second sending.
  Scenario Outline: a request that is sent again after <first> gets its own answer
    Given a platform's worker that repeats its first answer when the request comes again
    When a request that it answers with <first> is sent twice
    Then the second answer is that to the second sending

    Examples:
      | first                            |
      | 503 and "Not-Executed: 1"        |
      | 421 and "Not-Executed: 1"        |
      | 200 and "Response-Stamp: first"  |

  Scenario: a connection is used again for the requests that it has not carried
    Given a worker that answers every request on a connection
    When 300 requests are sent to it, each of them twice
    Then it has accepted 2 connections

  Scenario Outline: a refusal with the load <load> is <kind>
    When the platform's worker refuses a request with <status> and load "<load>"
    Then that is interpreted as "<kind>"

    Examples:
      | status | load    | kind      |
      | 503    | 18,3,18 | refused   |
      | 503    | 18,0,18 | refused   |
      | 503    | 4,1,18  | refused   |
      | 503    | 4,0,18  | rejected  |
      | 503    | 4,0,18,310 | rejected  |
      | 503    | 18,0,18,100 | refused  |
      | 503    | 4,0,18,,9 | refused  |
      | 429    | 4,0,18  | rejected  |
      | 503    | 4,0     | refused   |
      | 503    | -       | refused   |
      | 421    | 4,0,18  | not-owner |

  Scenario: a connection is returned to the pool once
    Given a worker that answers every request on a connection
    When the answer to a request is released twice and closed
    And 2 requests are sent to it before the first answer is read
    Then it has accepted 2 connections

  Scenario: sequential requests share one connection
    Given a worker that answers every request on a connection
    When 5 requests are sent to it one after the other
    Then it has accepted one connection

  # Guards against workers that use up the memory or the CPU time of a node.
  Scenario Outline: reading an endless answer in <where> stops at a limit
    Given a worker whose answers are endless in <where>
    When the answer to a request is read completely, up to 100000 bytes
    Then the body is truncated
    And the worker could send less than 20000000 bytes
    And other tasks ran in the meantime

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

  # Guards against heads that arrive byte by byte without end.
  Scenario: reading a slow head times out
    Given a worker that sends one byte of a head every 20 ms
    When the answer to a request with 300 ms left is awaited
    Then it times out after at most 600 ms
