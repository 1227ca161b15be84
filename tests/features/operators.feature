Feature: Authentication of operators and nodes, and accounting of capacity
  Calls of operators are authenticated, links between nodes are secured, and
  logs contain neither keys nor tokens.

  Scenario: the token of an operator determines the permitted calls
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
    And its log has the event "LW511 operator-change" with "who=bench"
    And its log contains no token and no shared key

  Scenario: links are secured by certificates
    Given three nodes of "portal" whose links are secured by certificates
    Then each of them owns some of its shards
    And a peer with a certificate of another authority is refused by "portal-1"

  # Guards against a planned stop that aborts answers before its time is over.
  Scenario Outline: the settings determine how long a planned stop may take
    Given settings with <settings>
    Then a planned stop may take <limit> ms
    And answers that are on their way may take <last> ms in it

    Examples:
      | settings                    | limit | last  |
      | {}                          | 60000 | 60000 |
      | {"stop_patience_ms": 7000}  | 7000  | 7000  |
      | {"stop_grace_s": 6}         | 5000  | 5700  |
      | {"stop_grace_s": 10.0}      | 8333  | 9700  |

  Scenario Outline: a daemon refuses invalid settings
    Then a daemon with <settings> ends with status 2 and "<message>"

    Examples:
      | settings                                      | message                            |
      | {"shared_key": null}                          | give either "tls" or "shared_key"  |
      | {"tls": {"certificate": "a", "key": "b", "authority": "c"}} | give either "tls" or "shared_key" |
      | {"shared_key": null, "tls": {"certificate": "a", "key": "b", "authority": "c"}} | are not usable |
      | {"shared_key": "short"}                       | shared_key: String should have at least 16 characters; what was found is not shown |
      | {"stop_patience_ms": 1, "stop_grace_s": 6}    | give "stop_patience_ms" or "stop_grace_s" |
      | {"slot": 3}                                   | slot: unknown field; allowed: admission, |

  Scenario: used and idle capacity add up to the whole capacity
    Then in any window, used and idle slot-milliseconds add up to the capacity

  Scenario: the used capacity agrees with the work of the workers
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
    Then others used the capacity of "traders", and "inspections" its own
    And the used capacity agrees with the journals of the workers
