Feature: Payments and their resends, with real processes

  Background:
    Given a deployment of the nodes
      | node     | failure_domain | service       |
      | portal-1 | caerdydd       | trader-portal |
      | portal-2 | abertawe       | trader-portal |
      | portal-3 | wrecsam        | trader-portal |
      | portal-4 | wrecsam        | trader-portal |
    And the applied configuration
      """
      {"services": {"trader-portal": {
        "key": {"source": "header", "name": "Kiosk"}, "shards": 8}}}
      """
    And the deployment of "trader-portal" is settled
    When 30 payments are made and paid again at another door

  Scenario: a resend after the loss of an owner
    Given the node "portal-3" is killed
    When every payment is sent again until it has a final answer
    Then every payment ran once and each resend told so

  Scenario: a resend after every shard has moved
    When the node "portal-2" is stopped
    And every payment is sent again until it has a final answer
    Then every payment ran once and each resend told so

  Scenario: a resend of what was running at the loss of its owner
    When a payment is running and the node of its owner is killed
    And it is sent again until no owner is missing
    Then it ran once and the resend told that it may have run
