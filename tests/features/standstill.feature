Feature: Keys are served again after a standstill
  A node or worker that goes on serves its keys within two seconds, or another
  one does.

  # Guards against shards that their owner holds, and admits no request to, after
  # a standstill of the owner's node or worker.
  Scenario Outline: the <what> stands still for <span> ms while <requests> come
    Given <vms> VMs of "portal" and 2 of "docs" with a route timeout of 800 ms
    When an owner's <what> stands still <times> times for <span> ms while <requests> come, and all keys are requested 2000 ms after each
    Then every key was served

    Examples:
      | vms | what            | times | span | requests                         |
      | 3   | node            | 1     | 300  | requests without a body          |
      | 3   | node            | 6     | 900  | requests without a body          |
      | 3   | node            | 2     | 900  | payments                         |
      | 3   | node            | 2     | 900  | payments with a long body        |
      | 5   | node            | 2     | 1400 | requests whose body comes slowly |
      | 5   | node            | 2     | 3000 | payments                         |
      | 5   | worker          | 2     | 900  | payments                         |
      | 5   | node and worker | 2     | 900  | requests without a body          |
