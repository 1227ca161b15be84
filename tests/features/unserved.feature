Feature: A shard that its node holds and does not serve is reported

  Background:
    Given a node that holds a shard and serves it

  # Guards against shards that are not served while nothing tells so.
  Scenario Outline: a shard is reported within a second, <what>
    Given <state>
    When <event>
    And the node is watched for 1000 ms
    Then the event "shards-unserved" names the shard once, with "<cause>"
    And the pages have the shard for 1000 ms

    Examples:
      | what                  | state                                 | event                       | cause                                 |
      | closed for a request  | a request runs in the shard           | the shard is to move        | b#2 waits for the requests            |
      | closed for its worker | the worker does not release the shard | the shard is to move        | b#2 waits for the worker              |
      | without a grant       | a request runs in the shard           | the worker loses its grants | the worker has no grant               |

  Scenario: the end is reported as well
    When the worker loses its grants
    And the node is watched for 3000 ms
    And the shard is opened again
    And the node is watched for 200 ms
    Then it is told that the shard was not served for 3000 ms

  # Guards against events at each ordinary move, and about shards of others.
  Scenario Outline: no event about <what>
    When the worker loses its grants
    And <event>
    And the node is watched for 2000 ms
    Then no event names the shard

    Examples:
      | what                   | event                                                    |
      | a short pause          | a pause of the shard of 600 ms ends                      |
      | a node without a lease | the lease of the node is lost                            |
