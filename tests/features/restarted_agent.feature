Feature: Slots of a lost incarnation stay unused while its tasks may still run

  Scenario: A restarted agent is sent no more tasks than it has free slots
    Given a leader of an agent with 8 slots
    When 5 tasks run on it and 20 more wait
    And it is lost and returns as a new incarnation
    Then it has 3 tasks
    When the time limits of the lost incarnation's tasks have passed
    Then it has 8 tasks

  Scenario: An agent that returns as a new incarnation after its grace period
    Given a leader of an agent with 8 slots
    When 5 tasks run on it and 20 more wait
    And it is lost beyond its grace period and returns as a new incarnation
    Then it has 3 tasks
    When the time limits of the lost incarnation's tasks have passed
    Then it has 8 tasks

  Scenario: An agent that restarts twice
    Given a leader of an agent with 8 slots
    When 5 tasks run on it and 20 more wait
    And it is lost and returns as a new incarnation
    And it is lost and returns as a new incarnation
    Then it has 0 tasks
    When the time limits of the lost incarnation's tasks have passed
    Then it has 8 tasks

  Scenario: An agent that returns in the same incarnation reports its running tasks
    Given a leader of an agent with 8 slots
    When 5 tasks run on it and 20 more wait
    And it is lost beyond its grace period and returns with one task ended
    Then it has 8 tasks

  Scenario: Tasks of a cancelled job occupy slots until the agent reports again
    Given a leader of an agent with 8 slots
    When 5 tasks run on it and 20 more wait
    And the running tasks' job is cancelled
    And it is lost and returns as a new incarnation
    Then it has 3 tasks

  Scenario Outline: A new leader takes over a cell with a restarted agent
    Given an agent that was started <age> s ago
    When another leader takes over with its <which> incarnation in the roster
    And a job of 20 tasks is submitted
    Then it has <at once> tasks
    When the longest time limit and the largest clock difference have passed
    Then it has 8 tasks

    Examples:
      | age | which   | at once |
      | 0   | former  | 0       |
      | 5   | former  | 0       |
      | 20  | former  | 8       |
      | 0   | present | 8       |

  Scenario: A killed agent is replaced while its backend server still works
    Given a deployment of 1 entries and 3 agents
    And attempts at tasks are limited to 4000 ms
    When 24 callers wait at the leader's entry for tasks of 3500 ms
    And every backend server has 8 tasks
    And an agent is killed
    And the killed agent is replaced
    And callers submit 60 non-idempotent jobs of 1 tasks that take 300 ms
    And the callers are done
    Then every caller has its own whole answer
    And no backend server ever had more than 8 tasks
