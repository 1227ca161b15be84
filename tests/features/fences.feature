Feature: Which fencing tokens lives of workers may have
  A life of a worker may take a key only under a token above all under which
  other lives of any worker had it.

  Scenario Outline: what counts as a token that has not risen, <what>
    Given lives of workers that take <earlier>
    When a life takes <later>
    Then the check finds <found>

    Examples:
      | what                             | earlier                       | later     | found                                                        |
      | a higher token                   | a#1 0-9 8                     | a#2 0-9 9 | nothing                                                      |
      | the same one, in another life    | a#1 0-9 8                     | a#2 0-9 8 | key 0 went to a#2 with fence 8; a#1 had it with fence 8      |
      | a lower one, of another worker   | a#1 0-9 8                     | b#1 0-9 7 | key 0 went to b#1 with fence 7; a#1 had it with fence 8      |
      | the same one, in the same life   | a#1 0-9 8                     | a#1 0-9 8 | nothing                                                      |
      | its own one, after another life  | a#1 0-9 8; b#1 0-9 9          | a#1 0-9 8 | key 0 went to a#1 with fence 8; b#1 had it with fence 9      |
      | one key of a range               | a#1 3-3 8                     | b#1 0-9 8 | key 3 went to b#1 with fence 8; a#1 had it with fence 8      |
      | keys beside the range            | a#1 3-3 8                     | b#1 4-9 8 | nothing                                                      |
      | the highest of others, not last  | a#1 0-9 8; b#1 0-9 9          | b#1 5-5 9 | nothing                                                      |
      | the highest of several others   | a#1 0-9 8; b#1 0-9 9; c#1 0-9 10 | c#1 0-9 10 | nothing |
      | one of several others            | a#1 0-9 8; b#1 0-9 9; c#1 0-9 10 | b#1 0-9 9 | key 0 went to b#1 with fence 9; c#1 had it with fence 10 |
