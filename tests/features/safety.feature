Feature: What must always hold in the decision logic

  Scenario Outline: Any mix of <rules> leaves the promises whole
    Then the promises hold under any mix of <rules>

    Examples:
      | rules                     |
      | single steps and faults   |
      | faults that endanger work |
