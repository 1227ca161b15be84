Feature: Ports for the processes of tests
  Several runs of tests may share a machine.

  # Guards against stand-ins that do not listen, or answer another run's calls.
  Scenario: two runs that begin together get different ports
    When two runs are given 600 ports each
    Then all these ports differ
