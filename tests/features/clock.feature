Feature: Time
  Scenario: the clock does not go back
    When the clock is read 1000 times
    Then no reading is smaller than the one before
