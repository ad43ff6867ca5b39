Feature: Processes count what they do

  Scenario: The metrics page lists every metric of the code
    Then docs/metrics.md holds the table of the code

  Scenario: Counters of a metrics set are read as they stand
    Then any sequence of counts is rendered as its sums
    And rendering starts no thread

  Scenario: A lease that lapses matters only where there is work
    Then a lapse is counted at an agent with a running task
    But none is counted at an agent without work

  Scenario: Wasted messages are told by their cause
    Then an attempt that succeeds wastes nothing
    And a refused start and its refusal are wasted once
    And a retry after a failed attempt is wasted
    And the loser of a hedge is wasted
    And what a cancelled job had started is wasted
    And a second answer to the same attempt is wasted
    And starts without a result are wasted when their agent is lost

  Scenario: Changes of state are reported once, in a fixed order
    Then any two states differ by the changes between them

  Scenario: Separate processes serve what they counted
    Given a deployment of 2 entries and 3 agents
    When a job of 40 tasks is submitted through each entry
    Then the agents' metrics count every start
    And the entries' metrics count every job
    And starts and results are those of the tasks and of counted refusals
