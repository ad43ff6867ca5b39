Feature: A non-idempotent request runs at most once

  Scenario: An agent is killed while non-idempotent jobs run
    Given a deployment of 2 entries and 3 agents
    When callers submit 100 non-idempotent jobs of 10 tasks through every entry
    And 20 % of the jobs are answered
    And an agent is killed
    And 50 % of the jobs are answered
    And the killed agent is replaced
    And the callers are done
    Then every caller has its own whole answer or a failure with a verdict
    And the backend servers saw no task start twice
    And the backend servers saw no task that was refused as not run

  Scenario: An agent and the leader are killed at the same time
    Given a deployment of 3 entries and 3 agents
    When callers submit 100 non-idempotent jobs of 10 tasks through every entry
    And 20 % of the jobs are answered
    And an agent is killed
    And the leader's entry is killed
    And the killed agent is replaced
    And the callers are done
    Then every caller has its own whole answer or a failure with a verdict
    And the backend servers saw no task start twice
    And the backend servers saw no task that was refused as not run

  Scenario: The platform is killed before the leader's entry is
    Given a deployment of 3 entries and 3 agents
    When callers submit 100 non-idempotent jobs of 10 tasks through every entry
    And the platform is killed
    And 20 % of the jobs are answered
    And the leader's entry is killed
    And the callers are done
    Then every caller has its own whole answer
    And the backend servers saw no task start twice

  Scenario: The platform is frozen before an agent and the leader are killed
    Given a deployment of 3 entries and 3 agents
    When callers submit 100 non-idempotent jobs of 10 tasks through every entry
    And the platform is frozen
    And 20 % of the jobs are answered
    And an agent is killed
    And the leader's entry is killed
    And the killed agent is replaced
    And the callers are done
    Then every caller has its own whole answer or a failure with a verdict
    And the backend servers saw no task start twice
    And the backend servers saw no task that was refused as not run

  Scenario: A resumed agent starts no task after its lease has expired
    Given an entry and an agent with one connection to its backend server
    When callers submit 1 non-idempotent jobs of 4 tasks that take 400 ms
    And the agent is frozen once its backend server has a task
    And it resumes after the entry was killed
    Then the backend server was sent no task after that
