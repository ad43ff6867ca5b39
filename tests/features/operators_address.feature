Feature: Operators have an address of their own if the settings give one

  Scenario: What is for operators is not served to callers
    Given a platform and an entry with an operators' address
    Then the callers' address serves jobs and health alone
    And the operators' address serves reports, metrics and configuration alone
    And the commands find the operators' address through the store
    And a planned stop ends both
