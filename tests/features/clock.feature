Feature: The clock
  Scenario: the clock is monotonic
    When the clock is read 1000 times
    Then no reading is less than the previous one
