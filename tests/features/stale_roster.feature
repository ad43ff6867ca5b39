Feature: A leader does not use a roster that too few members remember

  Scenario: Two leaders, one of which knows only an outdated roster
    Given a cell that grew from one agent to 3, unknown to one entry
    When the first agent restarts and only that entry can reach it
    Then a job that is submitted to both entries starts once
    When the store answers that entry
    Then that entry adopts the newer roster

  Scenario: A cell's only agent restarts and runs jobs again after a store write
    Given a cell of one agent
    When the agent restarts
    Then a new job is answered

  Scenario: A cell's only agent restarts and runs no jobs without the store
    Given a cell of one agent
    When the store is down and the agent restarts
    Then a new job is not started
    When the store answers again
    Then a new job is answered
