Feature: Ports for the processes of tests
  Several test runs may share a machine.

  # Guards against stand-ins that can't listen, or answer calls of another run.
  Scenario: two test runs that start together get different ports
    When two test runs allocate 600 ports each
    Then all ports are different
