Feature: Every table of jobs is bounded by the age of the jobs in it

  Scenario: Jobs that are too old to be queried are removed
    Given a cell that has answered 50 jobs
    When their identifiers become too old to be queried
    Then neither the entry nor an agent stores any of them

  Scenario: Jobs that may still be queried are kept
    Given a cell that has answered 50 jobs
    When their identifiers are as old as the idempotency window
    Then the entry and the agents store all of them
