Feature: What must always hold in the decision logic

  Scenario: Any mix of faults leaves the promises whole
    Then the promises hold under any mix of faults
