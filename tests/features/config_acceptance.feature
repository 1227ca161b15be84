Feature: Concurrent changes of the configuration are serialized

  Background:
    Given a stand-in platform
    And "anna" has accepted the files
      """
      {"10-a.json": {"failure_domains": ["caerdydd"]}, "20-b.json": {"weights": {"churn": 1}}}
      """

  Scenario: concurrent changes of different files both succeed
    When "bleddyn" proposes files between the read and the write of "carys"
      | bleddyn                                     | carys                                 |
      | {"20-b.json": {"weights": {"churn": 2}}}    | {"10-a.json": {"failure_domains": []}} |
    Then the accepted files of generation 3 are
      """
      {"10-a.json": {"failure_domains": []}, "20-b.json": {"weights": {"churn": 2}}}
      """
    And the audit trail names anna, bleddyn, carys

  Scenario: the second of two concurrent changes of the same file is refused
    When "bleddyn" proposes files between the read and the write of "carys"
      | bleddyn                                  | carys                                    |
      | {"20-b.json": {"weights": {"churn": 2}}} | {"20-b.json": {"weights": {"churn": 3}}} |
    Then the proposal was refused because others changed "20-b.json"
    And the accepted files of generation 2 are
      """
      {"10-a.json": {"failure_domains": ["caerdydd"]}, "20-b.json": {"weights": {"churn": 2}}}
      """

  Scenario: a write whose answer is lost is confirmed by reading it back
    Given the stand-in platform was sent "POST /faults" with {"lose_answers": 1, "lose_prefix": "config"}
    When "carys" proposes {"20-b.json": {"weights": {"churn": 3}}}
    Then the accepted files of generation 2 are
      """
      {"10-a.json": {"failure_domains": ["caerdydd"]}, "20-b.json": {"weights": {"churn": 3}}}
      """

  Scenario: a reader writes the audit entry that a failed writer left out
    When "carys" proposes {"20-b.json": null} and fails before writing the audit entry
    Then the audit trail names anna, carys
    And the audit entry of generation 2 is in the store

  Scenario: a rollback is accepted as a new generation
    When "carys" proposes {"20-b.json": null, "30-c.json": {"failure_domains": ["x"]}, "10-a.json": {}}
    And "dewi" rolls back to generation 1
    Then the accepted files of generation 3 are
      """
      {"10-a.json": {"failure_domains": ["caerdydd"]}, "20-b.json": {"weights": {"churn": 1}}}
      """

  Scenario: a change of the number of shards of a service is refused
    When "carys" proposes {"30-s.json": {"services": {"s": {"shards": 4, "key": {"source": "path", "name": "1"}}}}}
    And "carys" proposes {"30-s.json": {"services": {"s": {"shards": 5, "key": {"source": "path", "name": "1"}}}}}
    Then the proposal was refused with "30-s.json: services.s.shards: found 5; allowed: 4"

  Scenario: the generation of a node never decreases
    Then no order of configuration records makes the generation of a directory decrease
