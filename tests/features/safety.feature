Feature: The decision logic keeps its promises under random faults

  Scenario Outline: Any mix of <rules> breaks no promise
    Then the promises hold under any mix of <rules>

    Examples:
      | rules                            |
      | single steps and faults          |
      | faults while work is in progress |
