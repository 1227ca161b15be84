Feature: Reference pages for operators
  The pages match the catalogues of events and metrics in the code.

  Scenario: the page of events matches the catalogue
    Then docs/EVENTS.md has exactly one row for each event

  Scenario: the page of metrics matches the catalogue
    Then docs/METRICS.md has exactly one row for each metric

  # Guards against a page that names checks which are gone, or lacks one.
  Scenario: the page of rules matches the checks
    Then docs/RULES-COVERAGE.md names features that exist, and each rule of the soak
    And it counts its rows as they are

  Scenario: a node exports its metrics
    Given a deployment of the nodes
      | node     | failure_domain | service |
      | portal-1 | caerdydd       | portal  |
    And the applied configuration
      """
      {"services": {"portal": {
        "key": {"source": "header", "name": "Kiosk"}, "shards": 2}}}
      """
    And the deployment of "portal" is settled
    When 3 keys are requested at each door of "portal"
    And a service that is not declared is requested at "portal-1"
    Then the metrics of "portal-1" contain
      | line                                                                              |
      | laburnumwood_requests_total{service="portal",status="200"} 3.0                    |
      | laburnumwood_problems_total{kind="unknown-service"} 1.0                           |
      | laburnumwood_latency_milliseconds_count{service="portal"} 3.0                     |
      | laburnumwood_slots_idle{owner="licensing"} 20.0                                   |
      | laburnumwood_lease_held 1.0                                                       |
      | laburnumwood_shards_owned 2.0                                                     |
      | laburnumwood_config_generation 1.0                                                |
      | laburnumwood_events_total{name="node-joined"} 1.0                                 |
