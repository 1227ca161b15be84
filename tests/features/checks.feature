Feature: The run of all checks names what went wrong

  # Guards against a check that is lost: its file hung, crashed or left no report.
  Scenario Outline: the outcomes of a feature file whose process <fate> are named
    Given a feature file whose process <fate>
    When it is run as a check
    Then its outcomes are "<outcomes>"
    And nothing that it started is left

    Examples:
      | fate               | outcomes                                                 |
      | passes             | Made up: one passed                                      |
      | hangs              | made_up: no scenario ended for 2 s failed                |
      | crashes            | made_up: no report failed                                |
      | crashes at its end | Made up: one passed, made_up: ended with status 3 failed |
