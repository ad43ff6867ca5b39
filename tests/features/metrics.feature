Feature: Processes count their work and serve the counts as metrics

  Scenario: The metrics page lists every metric that is defined
    Then docs/metrics.md contains the table made from the definitions

  Scenario: Rendered counters equal what was counted
    Then any sequence of counts is rendered as the sum for each label
    And rendering starts no thread

  Scenario: The expiry of a lease is counted only at an agent with work
    Then an expired lease is counted at an agent with a running task
    But no expired lease is counted at an agent without work

  Scenario: Wasted messages are counted by their cause
    Then an attempt that succeeds wastes nothing
    And a refused start and its refusal are counted as wasted once
    And a retry after a failed attempt is wasted
    And the loser of a hedge is wasted
    And the messages of a task that its cancelled job had started are wasted
    And a second answer to the same attempt is wasted
    And starts without a result are wasted when their agent is lost

  Scenario: State changes are reported once, in a fixed order
    Then the changes between any two states account for their difference

  Scenario: Separate processes serve the counters of their work
    Given a deployment of 2 entries and 3 agents
    When a job of 40 tasks is submitted through each entry
    Then the agents' metrics count every start
    And the entries' metrics count every job
    And there is a start and a result for each task and each counted refusal
