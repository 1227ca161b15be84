Feature: Sessions of operators at the command line
  The commands of a session and their whole output are compared with a
  file in golden/.

  Scenario: a configuration is applied, changed and rolled back
    Given a stand-in platform
    And the folder "licences" with the file "10-places.json"
      """
      {"failure_domains": ["caerdydd", "abertawe"],
       "capacity_owners": {"traders": {"contact": "traders@example.org"}}}
      """
    And the folder "licences" with the file "20-portal.json"
      """
      {"services": {"trader-portal": {"owner": "traders", "shards": 8,
         "key": {"source": "header", "name": "Kiosk"}}}}
      """
    When "anna" runs "show"
    And "anna" runs "validate licences"
    And "anna" runs "diff licences"
    And "anna" runs "apply licences"
    And "anna" runs "apply licences"
    And the folder "licences" now has the file "20-portal.json"
      """
      {"services": {"trader-portal": {"owner": "traders", "shards": 8,
         "deadline_ms": 2000, "key": {"source": "header", "name": "Kiosk"}}}}
      """
    And "anna" runs "diff licences"
    And "anna" runs "apply licences --only 20-portal.json"
    And "bleddyn" runs "audit 2"
    And "bleddyn" runs "rollback 1"
    And "bleddyn" runs "history"
    And "bleddyn" runs "show 20-portal.json"
    And "bleddyn" runs "history --most=1 --json"
    Then the session matches the golden file "a_good_day"

  Scenario: two operators change the same file concurrently
    Given a stand-in platform
    And the folder "anna" with the file "30-docs.json"
      """
      {"services": {"docs": {"deadline_ms": 1000}}}
      """
    And the folder "bleddyn" with the file "30-docs.json"
      """
      {"services": {"docs": {"deadline_ms": 3000}}}
      """
    And the folder "carys" with the file "40-maps.json"
      """
      {"services": {"maps": {}}}
      """
    When "anna" runs "apply anna"
    And "carys" runs "apply carys"
    And "bleddyn" runs "apply bleddyn"
    And "bleddyn" runs "diff bleddyn"
    And "bleddyn" runs "apply bleddyn"
    And "anna" runs "diff anna"
    And "anna" runs "apply anna"
    And "anna" runs "show --json"
    Then the session matches the golden file "a_race"

  Scenario: invalid configurations and arguments are refused
    Given a stand-in platform
    And the folder "bad" with the file "10-a.json"
      """
      {"services": {"docs": {"deadline": 5}}, "services": {"maps": {"shards": 2}}}
      """
    And the folder "bad" with the file "20-b.json"
      """
      {"weights": {"churn": "high"}}
      """
    When "anna" runs "apply bad"
    And the folder "bad" now has the file "10-a.json"
      """
      {"services": {"docs": {"deadline": 5, "owner": "x"}}}
      """
    And "anna" runs "validate bad"
    And the folder "bad" now has the file "20-b.json"
      """
      {"services": {"docs": {"owner": "x"}}}
      """
    And the folder "bad" now has the file "10-a.json"
      """
      {"services": {"docs": {}}}
      """
    And "anna" runs "apply bad"
    And "anna" runs "apply bad --only 30-c.json"
    And "anna" runs "rollback 7"
    And "anna" runs "history"
    Then the session matches the golden file "a_refused_merge"

  Scenario: an outage of the platform
    Given a stand-in platform
    And the folder "licences" with the file "10-a.json"
      """
      {"weights": {"churn": 2}}
      """
    And the stand-in platform was sent "POST /faults" with {"outage": true}
    When "anna" runs "apply licences"
    And "anna" runs "nodes"
    Given the stand-in platform was sent "POST /faults" with {"outage": false}
    When "anna" runs "history"
    And "anna" runs "apply licences"
    And "anna" runs "nodes"
    Then the session matches the golden file "an_outage"

  Scenario: a takeover seen by an operator
    Given a deployment of the nodes
      | node     | failure_domain | service       | capacity_owner |
      | portal-1 | caerdydd       | trader-portal | traders        |
      | portal-2 | abertawe       | trader-portal | traders        |
      | portal-3 | wrecsam        | trader-portal | inspections    |
    And the applied configuration
      """
      {"services": {"trader-portal": {
        "key": {"source": "header", "name": "Kiosk"}, "shards": 6}}}
      """
    And the deployment of "trader-portal" is settled
    And the folder "weights" with the file "20-weights.json"
      """
      {"weights": {"unavailable": 3}}
      """
    When "anna" runs "apply weights --wait --limit-s=60"
    And "anna" runs "nodes"
    And "anna" runs "status"
    And "anna" runs "owners trader-portal"
    And "anna" runs "owners docs"
    And the node "portal-3" is killed
    And the shards of "portal-3" have other owners
    And the deployment of "trader-portal" is settled
    And "anna" runs "nodes"
    And "anna" runs "owners trader-portal"
    And "anna" runs "confirm-lost portal-3"
    And "anna" runs "confirm-lost portal-3 --yes"
    And "anna" runs "confirm-lost portal-9 --yes"
    And "anna" runs "drain portal-9"
    And "anna" runs "drain portal-2"
    Then the node "portal-2" ends with status 0
    When "anna" runs "owners trader-portal"
    And "a stranger" runs "status"
    Then the session matches the golden file "a_takeover"

  Scenario: a configuration that does not come into force everywhere in time
    Given a deployment of the nodes
      | node     | failure_domain | service |
      | portal-1 | caerdydd       | portal  |
    And a node "portal-2" with other operator tokens has joined "portal-1"
    And the folder "weights" with the file "20-weights.json"
      """
      {"weights": {"unavailable": 3}}
      """
    When "anna" runs "apply weights"
    And generation 1 is in force on "portal-1"
    And "anna" runs "apply weights --wait --limit-s=0.1"
    Then the session matches the golden file "not_in_force"
