Feature: The stand-in for the platform
  Background:
    Given a stand-in platform

  Scenario: writes are conditional on versions of one global revision
    Then the stand-in platform answers
      | request                 | If-None-Match | If-Match | body | status | answer                                      |
      | GET /objects/nodes/a    |               |          |      | 404    | {"error": "not-found"}                      |
      | PUT /objects/nodes/a    |               |          | 1    | 428    | {}                                          |
      | PUT /objects/nodes/a    |               | 1        | 1    | 412    | {"error": "conflict", "version": null}      |
      | PUT /objects/nodes/a    | *             |          | 1    | 200    | {"version": 1}                              |
      | PUT /objects/nodes/a    | *             |          | 2    | 412    | {"error": "conflict", "version": 1}         |
      | PUT /objects/nodes/b    | *             |          | [5]  | 200    | {"version": 2}                              |
      | PUT /objects/nodes/a    |               | 1        | 3    | 200    | {"version": 3}                              |
      | GET /objects/nodes/a    |               |          |      | 200    | {"name": "nodes/a", "value": 3, "version": 3} |
      | DELETE /objects/nodes/a |               |          |      | 428    | {}                                          |
      | DELETE /objects/nodes/a |               | 1        |      | 412    | {"error": "conflict", "version": 3}         |
      | DELETE /objects/nodes/a |               | 3        |      | 200    | {"version": 4}                              |
      | DELETE /objects/nodes/a |               | 3        |      | 404    | {"error": "not-found"}                      |
      | PUT /objects/nodes/b    |               | 2        | {    | 400    | {"error": "invalid"}                        |

  Scenario: a listing is sorted and carries the revision
    Then the stand-in platform answers
      | request                    | If-None-Match | body | status | answer |
      | PUT /objects/shards/s/2    | *             | 2    | 200    | {}     |
      | PUT /objects/shards/s/1    | *             | 1    | 200    | {}     |
      | PUT /objects/nodes/n       | *             | 0    | 200    | {}     |
      | GET /objects?prefix=shards |               |      | 200    | {"objects": [{"name": "shards/s/1", "version": 2}, {"name": "shards/s/2", "version": 1}], "revision": 3} |
      | GET /counts                |               |      | 200    | {"reads": 1, "writes": 3, "by_path_prefix": {"shards": {"reads": 1, "writes": 2}}} |

  Scenario: a value has at most 1 MiB
    Then a stand-in object of 1048576 bytes is answered with status 200
    And a stand-in object of 1048577 bytes is answered with status 413

  Scenario: a watch waits for the next event under its prefix
    When "GET /watch?prefix=nodes&since=0&wait_ms=600000" is started at the stand-in platform
    And "GET /counts" at the stand-in platform becomes {"waiting": 1}
    Then the stand-in platform answers
      | request              | If-None-Match | body | status | answer         |
      | PUT /objects/config  | *             | 1    | 200    | {"version": 1} |
      | PUT /objects/nodes/a | *             | 2    | 200    | {"version": 2} |
    And the started call ends with status 200 and {"events": [{"name": "nodes/a", "value": 2, "version": 2}], "revision": 2}

  Scenario: a watch sees past events, deletions and the end of its wait
    Then the stand-in platform answers
      | request                               | If-None-Match | If-Match | body | status | answer |
      | PUT /objects/nodes/a                  | *             |          | 1    | 200    | {}     |
      | DELETE /objects/nodes/a               |               | 1        |      | 200    | {}     |
      | GET /watch?prefix=nodes&since=0       |               |          |      | 200    | {"events": [{"value": 1, "version": 1}, {"value": null, "version": 2}], "revision": 2} |
      | GET /watch?prefix=x&since=0&wait_ms=5 |               |          |      | 200    | {"events": [], "revision": 2} |
      | GET /watch?prefix=nodes&since=3       |               |          |      | 410    | {"error": "compacted"} |

  Scenario: events older than the kept history are compacted
    Given a stand-in history of 3 events after 5 writes
    Then the events since 2 are 3, 4, 5
    And the events since 1 are compacted

  Scenario: a lost answer hides a write that took effect
    Then the stand-in platform answers
      | request              | If-None-Match | body                                        | status | answer              |
      | POST /faults         |               | {"lose_answers": 1, "lose_prefix": "nodes"} | 200    | {"lose_answers": 1} |
      | PUT /objects/config  | *             | 1                                           | 200    | {"version": 1}      |
      | PUT /objects/nodes/a | *             | 2                                           | closed |                     |
      | GET /objects/nodes/a |               |                                             | 200    | {"version": 2}      |
      | GET /faults          |               |                                             | 200    | {"lose_answers": 0} |

  Scenario: an outage closes calls and waiting watches
    When "GET /watch?prefix=nodes&since=0&wait_ms=600000" is started at the stand-in platform
    And "GET /counts" at the stand-in platform becomes {"waiting": 1}
    Then the stand-in platform answers
      | request              | If-None-Match | body              | status | answer                                 |
      | POST /faults         |               | {"outage": true}  | 200    | {"outage": true}                       |
      | PUT /objects/nodes/a | *             | 1                 | closed |                                        |
      | GET /watch           |               |                   | closed |                                        |
      | GET /counts          |               |                   | 200    | {"writes": 1, "watches": 2, "waiting": 0} |
      | POST /faults         |               | {"outage": false} | 200    | {"outage": false}                      |
      | GET /objects/nodes/a |               |                   | 404    | {}                                     |
    And the started call was closed without an answer

  Scenario: a stalled watch returns no events until it resumes, and loses none
    Then the stand-in platform answers
      | request                                   | If-None-Match | body                   | status | answer |
      | POST /faults                              |               | {"watch_stall": true}  | 200    | {}     |
      | PUT /objects/nodes/a                      | *             | 1                      | 200    | {}     |
      | GET /watch?prefix=nodes&since=0&wait_ms=5 |               |                        | 200    | {"events": [], "revision": 0} |
      | POST /faults                              |               | {"watch_stall": false} | 200    | {}     |
      | GET /watch?prefix=nodes&since=0&wait_ms=5 |               |                        | 200    | {"events": [{"version": 1}], "revision": 1} |

  Scenario: a delay applies to every call
    Given the stand-in platform was sent "POST /faults" with {"delay_ms": 200}
    Then "GET /objects" at the stand-in platform takes at least 200 ms

  Scenario: a paused process answers once it is resumed
    When the stand-in platform is paused
    Then "GET /counts" at the stand-in platform gets no answer within 100 ms
    When the stand-in platform is resumed
    Then the stand-in platform answers
      | request     | status | answer |
      | GET /counts | 200    | {}     |
