Feature: Handing all shards over at a planned stop

  Scenario Outline: without the store a stop waits only for the worker
    Given a node whose store <answers> and whose worker lets go after <release> ms
    When it hands all shards over with 5000 ms of patience
    Then it waited for <wait> ms

    Examples:
      | answers        | release | wait |
      | does not answer | 900    | 900  |
      | does not answer | 3000   | 3000 |
      | does not answer | 9000   | 5000 |
      | answers         | 900    | 2500 |
