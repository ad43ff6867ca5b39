Feature: Optional separate HTTP address for operators

  Scenario: The callers' address does not serve the operators' endpoints
    Given a platform and an entry with a separate address for operators
    Then the callers' address serves only jobs and health
    And the operators' address serves reports, metrics, configuration, not jobs
    And the commands read the operators' address from the store
    And a graceful shutdown with both addresses open succeeds
