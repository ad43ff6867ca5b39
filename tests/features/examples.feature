Feature: Each example is a complete deployment

  Scenario: Every file of the examples loads
    Then every example file is accepted as the type that it is read as
    And the examples have 11 agents of 8 slots and 3 entries
    And the check command accepts each example's files together

  Scenario: The snapcheck example serves a load as separate processes
    Given the snapcheck example is started on loopback
    When its load profile is run
    Then all 1000 tasks are answered and none was started twice
