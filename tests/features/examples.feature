Feature: The examples are whole deployments

  Scenario: Every file of the examples loads
    Then every example file is accepted by the part that reads it
    And the examples have today's sizes
    And the check command accepts each example's files together

  Scenario: The snapcheck example serves a load as separate processes
    Given the snapcheck example is started on loopback
    When its load profile is run
    Then all 1000 tasks are answered and none was started twice
