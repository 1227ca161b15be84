Feature: Who may do what
  Operator calls are authenticated, links between nodes are secured, and
  neither keys nor tokens get into logs.

  Scenario: tokens decide what an operator may do
    Given a deployment of the nodes
      | node     | failure_domain | service |
      | portal-1 | caerdydd       | portal  |
    When the node "portal-1" is restarted with the operators
      """
      {"anna": {"token": "token of anna, who reads"},
       "bench": {"token": "token of bench, who changes", "may": "change"}}
      """
    Then the operator port of "portal-1" answers
      | call        | token                       | status |
      | GET /status |                             | 401    |
      | GET /status | not a token of anyone here  | 401    |
      | GET /status | token of anna, who reads    | 200    |
      | GET /none   | token of anna, who reads    | 404    |
      | POST /drain | token of anna, who reads    | 403    |
      | POST /nodes | token of bench, who changes | 405    |
      | GET /metrics | token of anna, who reads   | 200    |
      | POST /drain | token of bench, who changes | 200    |
    And the node "portal-1" ends with status 0
    And its log names "LW511 operator-change" and "who=bench"
    And its log holds no token and no key

  Scenario: links are secured by certificates
    Given three nodes of "portal" whose links are secured by certificates
    Then each of them is owner of some of its shards
    And a peer with the certificate of a stranger is refused by "portal-1"

  # Guards against answers cut off by a planned stop that had time left.
  Scenario Outline: a planned stop takes the time that it is given
    Given settings with <settings>
    Then a planned stop may take <limit> ms

    Examples:
      | settings                    | limit |
      | {}                          | 60000 |
      | {"stop_patience_ms": 7000}  | 7000  |
      | {"stop_grace_s": 6}         | 5000  |
      | {"stop_grace_s": 10.0}      | 8333  |

  Scenario Outline: settings name exactly one way to secure links
    Then a daemon with <settings> ends with status 2 and "<message>"

    Examples:
      | settings                                      | message                            |
      | {"shared_key": null}                          | give either "tls" or "shared_key"  |
      | {"tls": {"certificate": "a", "key": "b", "authority": "c"}} | give either "tls" or "shared_key" |
      | {"shared_key": null, "tls": {"certificate": "a", "key": "b", "authority": "c"}} | are not usable |
      | {"shared_key": "short"}                       | shared_key: String should have at least 16 characters; what was found is not shown |
      | {"stop_patience_ms": 1, "stop_grace_s": 6}    | give "stop_patience_ms" or "stop_grace_s" |
      | {"slot": 3}                                   | slot: unknown field; allowed: admission, |

  Scenario: what capacity carried and what lay idle add up
    Then used and idle slot-milliseconds are the capacity of any window

  Scenario: idle capacity agrees with what workers did
    Given a deployment of the nodes
      | node     | failure_domain | service | capacity_owner |
      | portal-1 | caerdydd       | portal  | traders        |
      | portal-2 | abertawe       | portal  | inspections    |
      | portal-3 | wrecsam        | portal  | inspections    |
    And the applied configuration
      """
      {"capacity_owners": {"traders": {"contact": "t"}, "inspections": {"contact": "i"}},
       "services": {"portal": {"owner": "inspections", "shards": 6,
         "key": {"source": "header", "name": "Kiosk"}}}}
      """
    And the deployment of "portal" is settled
    When 20 requests of 20 ms of work are made one after another
    Then capacity of "traders" carried others' work and "inspections" its own
    And both carried as much as the workers' journals say
