Feature: The stand-in for a worker
  Background:
    Given a stand-in journal

  Scenario: work runs under a grant in force and is fenced otherwise
    Given a stand-in worker with "--name w1"
    Then the stand-in worker answers
      | request        | Service | Shard | Token | Request | Key | body | status | answer |
      | PUT /work/a    | s       | 1     | 5     | r1      | k   | x    | 409    | {"error": "fenced"} |
      | PUT /grants    |         |       |       |         |     | {"ttl_ms": 3600000, "shards": [{"service": "s", "shard": 1, "token": 5}]} | 200 | {"refused": []} |
      | PUT /work/a    | s       | 1     | 5     | r2      | k   | x    | 200    | {"request": "r2", "key": "k", "worker": "w1", "token": 5, "method": "PUT", "run": 1, "body_checksum": "5c80c09683041123"} |
      | GET /work/a    | s       | 1     | 4     | r3      | k   |      | 409    | {"error": "fenced"} |
      | GET /work/a    | s       | 2     | 5     | r4      | k   |      | 409    | {"error": "fenced"} |
      | GET /work/a    |         |       |       | r5      |     |      | 200    | {"request": "r5", "token": null} |
      | PUT /grants    |         |       |       |         |     | {"ttl_ms": 3600000, "shards": [{"service": "s", "shard": 1, "token": 4}]} | 200 | {"refused": [{"service": "s", "shard": 1, "token": 4}]} |
      | GET /work/a    | s       | 1     | 5     | r6      | k   |      | 409    | {} |
      | PUT /grants    |         |       |       |         |     | {"ttl_ms": 0, "shards": [{"service": "s", "shard": 1, "token": 6}]} | 200 | {"refused": []} |
      | GET /work/a    | s       | 1     | 6     | r7      | k   |      | 409    | {"error": "fenced"} |
    And the stand-in journal has
      | request | token | outcome |
      | r1      | 5     | refused |
      | r2      | 5     | ran     |
      | r3      | 4     | refused |
      | r4      | 5     | refused |
      | r5      |       | ran     |
      | r6      | 5     | refused |
      | r7      | 6     | refused |

  Scenario: a worker that checks no tokens runs everything
    Given a stand-in worker with "--no-check-tokens"
    Then the stand-in worker answers
      | request     | Service | Shard | Token | Request | status | answer |
      | GET /work/a | s       | 1     | 1     | r1      | 200    | {}     |

  Scenario: a crash leaves a journal entry without an outcome
    Given a stand-in worker with "--work-ms 0"
    Then the stand-in worker answers
      | request             | Request | status | answer |
      | GET /work/a?crash=1 | r1      | closed |        |
    And the stand-in worker ended with status 1
    And the stand-in journal has
      | request | outcome |
      | r1      |         |

  Scenario: a download is computed from the id of its request
    Given a stand-in worker with "--work-ms 0"
    Then a stand-in download of 100000 bytes for "r1" is complete
    And the stand-in journal becomes
      | request | outcome |
      | r1      | ran     |

  Scenario: a caller that disconnects cuts its download
    Given a stand-in worker with "--work-ms 0"
    When a stand-in download with an endless pause is closed by its caller
    Then the stand-in journal becomes
      | request | outcome |
      | r1      | cut     |

  Scenario: work is cancelled
    Given a stand-in worker with "--work-ms 3600000 --slots 1"
    When work "r1" is started at the stand-in worker
    And the stand-in journal becomes
      | request | outcome |
      | r1      |         |
    Then the stand-in worker answers
      | request      | body              | Request | status | answer               |
      | GET /work/a  |                   | r2      | 503    | {"error": "busy"}    |
      | POST /cancel | {"request": "r9"} |         | 200    | {"cancelled": false} |
      | POST /cancel | {"request": "r1"} |         | 200    | {"cancelled": true}  |
    And the stand-in journal has
      | request | outcome   |
      | r1      | cancelled |
      | r2      | refused   |
    And the started call ends with status 499 and {"error": "cancelled"}

  Scenario: a download whose caller does not read is cancelled
    Given a stand-in worker with "--work-ms 0"
    When a stand-in download is left unread by its caller
    Then the stand-in worker answers
      | request      | body              | status | answer              |
      | POST /cancel | {"request": "r1"} | 200    | {"cancelled": true} |
    And the stand-in journal has
      | request | outcome   |
      | r1      | cancelled |

  Scenario: work stops at its deadline
    Given a stand-in worker with "--work-ms 3600000"
    Then the stand-in worker answers
      | request               | Deadline-Ms | Request | status | answer                |
      | GET /work/a           | 20          | r1      | 504    | {"error": "deadline"} |
      | GET /work/a?work_ms=0 | 600000      | r2      | 200    | {}                    |
    And the stand-in journal has
      | request | outcome   |
      | r1      | cancelled |
      | r2      | ran       |

  Scenario: only the first use of a key after a grant is cold
    Given a stand-in worker with "--work-ms 0 --cold-start-ms 3600000"
    Then the stand-in worker answers
      | request     | Service | Shard | Token | Key | Deadline-Ms | body | status | answer |
      | PUT /grants |         |       |       |     |             | {"ttl_ms": 3600000, "shards": [{"service": "s", "shard": 1, "token": 1}]} | 200 | {} |
      | GET /work/a | s       | 1     | 1     | k   | 20          |      | 504    | {} |
      | PUT /grants |         |       |       |     |             | {"ttl_ms": 3600000, "shards": [{"service": "s", "shard": 1, "token": 1}]} | 200 | {} |
      | GET /work/a | s       | 1     | 1     | k   | 600000      |      | 200    | {} |
      | GET /work/a | s       | 1     | 1     | j   | 20          |      | 504    | {} |
      | PUT /grants |         |       |       |     |             | {"ttl_ms": 3600000, "shards": []} | 200 | {} |
      | PUT /grants |         |       |       |     |             | {"ttl_ms": 3600000, "shards": [{"service": "s", "shard": 1, "token": 2}]} | 200 | {} |
      | GET /work/a | s       | 1     | 2     | k   | 20          |      | 504    | {} |

  Scenario: a draining worker finishes running work and refuses new work
    Given a stand-in worker with "--work-ms 300"
    When work "r1" is started at the stand-in worker
    And "GET /journal" at the stand-in worker becomes [{"request": "r1"}]
    Then the stand-in worker answers
      | request     | status | answer                 |
      | POST /drain | 200    | {}                     |
      | GET /work/a | 503    | {"error": "draining"}  |
      | GET /health | 200    | {"status": "draining"} |
    And the started call ends with status 200 and {"request": "r1"}

  Scenario: load and health are reported late
    Given a stand-in worker with "--work-ms 3600000"
    When work "r1" is started at the stand-in worker
    And "GET /journal" at the stand-in worker becomes [{"request": "r1"}]
    Then the stand-in worker answers
      | request        | body                                                   | status | answer                                  |
      | POST /switches | {"load_lag_ms": 1000000000}                            | 200    | {"load_lag_ms": 1000000000}             |
      | GET /load      |                                                        | 200    | {"slots": 20, "running": 0, "queued": 0} |
      | POST /switches | {"load_lag_ms": 0, "health_lag_ms": 1000000000}        | 200    | {}                                      |
      | GET /load      |                                                        | 200    | {"running": 1}                          |
      | POST /switches | {"load_fixed": 7}                                      | 200    | {}                                      |
      | GET /load      |                                                        | 200    | {"running": 7}                          |
      | POST /drain    |                                                        | 200    | {}                                      |
      | GET /health    |                                                        | 200    | {"status": "ok"}                        |
      | POST /cancel   | {"request": "r1"}                                      | 200    | {}                                      |

  Scenario: a frozen worker answers only after it thaws
    Given a stand-in worker with "--work-ms 0"
    And the stand-in worker was sent "POST /switches" with {"frozen": true}
    When work "r1" is started at the stand-in worker
    Then "GET /health" at the stand-in worker gets no answer within 100 ms
    And the stand-in worker answers
      | request        | body              | status | answer            |
      | POST /switches | {"frozen": false} | 200    | {"frozen": false} |
    And the started call ends with status 200 and {"request": "r1"}
