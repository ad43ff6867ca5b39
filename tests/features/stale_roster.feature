Feature: A roster that too few members remember is not relied on

  Scenario: Two leaders, one of which knows a roster from long ago
    Given a cell that grew from one agent to 3, which one entry has missed
    When the first agent restarts and only that entry reaches it
    Then a job that is brought to both entries starts once
    When the store answers that entry
    Then it takes the newer roster over

  Scenario: An agent that restarts alone is taken back with the store's help
    Given a cell of one agent
    When the agent restarts
    Then a new job is answered

  Scenario: Without the store an agent that restarts alone is not relied on
    Given a cell of one agent
    When the store is down and the agent restarts
    Then a new job is not started
    When the store answers again
    Then a new job is answered
