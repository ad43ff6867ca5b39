Feature: A lease reaches an agent before the starts that need it

  Scenario: No start is refused for want of a lease
    Then in any order of messages, joining agents refuse no start
