Feature: Files of several teams are merged into one configuration

  Background:
    Given the file "10-places.json"
      """
      {"rules": [{"files": ["30-night.json"],
                  "may_override": ["services.portal.deadline_ms", "weights.*"]}],
       "failure_domains": ["caerdydd", "abertawe"],
       "capacity_owners": {"traders": {"contact": "t@example.org"}},
       "weights": {"churn": 2}}
      """
    And the file "20-portal.json"
      """
      {"services": {"portal": {"owner": "traders", "shards": 8,
         "key": {"source": "header", "name": "Kiosk"}}}}
      """

  Scenario: the origin of each value is the file that sets it
    Given the file "30-night.json"
      """
      {"services": {"portal": {"deadline_ms": 500}}, "weights": {"churn": 9}}
      """
    Then the value "services.portal.deadline_ms" is 500, set by "30-night.json"
    And the value "services.portal.shards" is 8, set by "20-portal.json"
    And the value "weights.churn" is 9.0, set by "30-night.json"

  Scenario: a file must not set a value of an entry that another file sets
    Given the file "25-other.json"
      """
      {"services": {"portal": {"deadline_ms": 500}}}
      """
    Then the files are refused with
      """
      25-other.json: services.portal.deadline_ms: services.portal is set by 20-portal.json already; one file sets a thing, unless a rule of the first file lets 25-other.json override services.portal.deadline_ms
      """

  Scenario: all errors are reported, each with the allowed values
    Given the file "40-bad.json"
      """
      {"service": {}, "services": {"docs": {"key": {"from": 5}, "deadline_ms": "10s"}}}
      """
    And the file "50-more.json"
      """
      {"rules": [{"files": ["x"], "may_override": ["y"]}], "weights": {"churn": -1}}
      """
    Then the files are refused with
      """
      40-bad.json: services.docs.key.source: Field required; found {'from': 5}
      40-bad.json: services.docs.key.name: Field required; found {'from': 5}
      40-bad.json: services.docs.key.from: unknown field; allowed: name, source
      40-bad.json: services.docs.deadline_ms: Input should be a valid integer; found '10s'
      40-bad.json: service: unknown field; allowed: caller_limits, capacity_owners, failure_domains, pins, routes, rules, services, warm_ups, weights
      50-more.json: weights.churn: Input should be greater than or equal to 0; found -1
      """

  Scenario: only the first file may contain rules
    Given the file "50-more.json"
      """
      {"rules": [{"files": ["x"], "may_override": ["y"]}]}
      """
    Then the files are refused with
      """
      50-more.json: rules: only the first file may hold rules
      50-more.json: rules: rules is set by 10-places.json already; one file sets a thing, unless a rule of the first file lets 50-more.json override rules
      """

  Scenario: references must name declared objects
    Given the file "40-pins.json"
      """
      {"services": {"docs": {"owner": "nobody"}, "maps": {"shards": 3}},
       "pins": {"a": {"service": "portal", "shard": 8, "failure_domain": "wrecsam"},
                "b": {"service": "docs", "key": "k", "node": "n"},
                "c": {"service": "none", "key": "k", "node": "n"},
                "d": {"service": "portal", "key": "k", "node": "n"},
                "e": {"service": "portal", "key": "k", "node": "m"}}}
      """
    Then the files are refused with
      """
      40-pins.json: services.docs.owner: no capacity owner 'nobody' is declared; allowed: traders
      40-pins.json: services.maps.shards: found 3; a service without a key needs 0
      40-pins.json: pins.a.shard: found 8; allowed: 0 to 7
      40-pins.json: pins.a.failure_domain: no failure domain 'wrecsam' is declared; allowed: abertawe, caerdydd
      40-pins.json: pins.b.service: 'docs' is not divided by key; pins need that
      40-pins.json: pins.c.service: no service 'none' is declared; allowed: portal
      40-pins.json: pins.e: binds what pins.d binds; keep one of them
      """

  Scenario: duplicate names in a JSON object are refused
    Then the file content is refused with "a.json: services.x: stands twice; a name may stand once"
      """
      {"services": {"x": {}, "y": {}, "x": {"shards": 1}}}
      """

  # Guards against an accepted configuration that means something else when its
  # files are put together without a look at each value.
  Scenario: an accepted configuration means what its files mean
    Given the file "25-docs.json"
      """
      {"services": {"docs": {"shards": 4, "key": {"source": "query", "name": "k"}}},
       "caller_limits": {"longest_head": 9000}}
      """
    Then an accepted configuration of them, with or without rules, means the same
