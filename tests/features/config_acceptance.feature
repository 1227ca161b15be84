Feature: A configuration is accepted once and never reverts

  Background:
    Given a stand-in platform
    And "anna" has accepted the files
      """
      {"10-a.json": {"failure_domains": ["caerdydd"]}, "20-b.json": {"weights": {"churn": 1}}}
      """

  Scenario: two operators who race on different files both succeed
    When "bleddyn" proposes files just before the write of "carys"
      | bleddyn                                     | carys                                 |
      | {"20-b.json": {"weights": {"churn": 2}}}    | {"10-a.json": {"failure_domains": []}} |
    Then the accepted files of generation 3 are
      """
      {"10-a.json": {"failure_domains": []}, "20-b.json": {"weights": {"churn": 2}}}
      """
    And the audit trail names anna, bleddyn, carys

  Scenario: on the same file the second is told and nothing is lost
    When "bleddyn" proposes files just before the write of "carys"
      | bleddyn                                  | carys                                    |
      | {"20-b.json": {"weights": {"churn": 2}}} | {"20-b.json": {"weights": {"churn": 3}}} |
    Then the proposal was refused since "20-b.json" has changed
    And the accepted files of generation 2 are
      """
      {"10-a.json": {"failure_domains": ["caerdydd"]}, "20-b.json": {"weights": {"churn": 2}}}
      """

  Scenario: a lost answer is settled by reading back
    Given the stand-in platform was sent "POST /faults" with {"lose_answers": 1, "lose_prefix": "config"}
    When "carys" proposes {"20-b.json": {"weights": {"churn": 3}}}
    Then the accepted files of generation 2 are
      """
      {"10-a.json": {"failure_domains": ["caerdydd"]}, "20-b.json": {"weights": {"churn": 3}}}
      """

  Scenario: a reader completes the audit trail of a writer that died
    When "carys" proposes {"20-b.json": null} and dies before the audit entry
    Then the audit trail names anna, carys
    And the entry of generation 2 is in the store

  Scenario: rolling back is a new generation
    When "carys" proposes {"20-b.json": null, "30-c.json": {"failure_domains": ["x"]}, "10-a.json": {}}
    And "dewi" rolls back to generation 1
    Then the accepted files of generation 3 are
      """
      {"10-a.json": {"failure_domains": ["caerdydd"]}, "20-b.json": {"weights": {"churn": 1}}}
      """

  Scenario: the number of shards of a service stays
    When "carys" proposes {"30-s.json": {"services": {"s": {"shards": 4, "key": {"source": "path", "name": "1"}}}}}
    And "carys" proposes {"30-s.json": {"services": {"s": {"shards": 5, "key": {"source": "path", "name": "1"}}}}}
    Then the proposal was refused with "30-s.json: services.s.shards: found 5; allowed: 4"

  Scenario: generations only rise on a node, whatever the order of news
    Then no order of stale news makes a node's generation fall
