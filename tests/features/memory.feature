Feature: Every table is bounded by the age of what it holds

  Scenario: What is too old to be asked for is forgotten
    Given a cell that has answered 50 jobs
    When their identifiers grow too old to be met again
    Then neither the entry nor an agent remembers any of them

  Scenario: What may still be asked for is remembered
    Given a cell that has answered 50 jobs
    When their identifiers are as old as the idempotency window
    Then the entry and the agents remember all of them
