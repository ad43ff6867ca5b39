Feature: A job's answer is either complete or failed, and goes to its caller

  Scenario: An agent is killed while idempotent jobs run
    Given a deployment of 2 entries and 3 agents
    When callers submit 100 idempotent jobs of 10 tasks through every entry
    And 20 % of the jobs are answered
    And an agent is killed
    And the callers are done
    Then every caller has its own whole answer
    And the backend servers saw all tasks of every whole answer

  Scenario: An agent is frozen for longer than every lease and resumes
    Given a deployment of 2 entries and 3 agents
    When callers submit 100 non-idempotent jobs of 10 tasks through every entry
    And 20 % of the jobs are answered
    And an agent is frozen for longer than every lease
    And the callers are done
    Then every caller has its own whole answer or a failure with a verdict
    And the backend servers saw no task start twice
    And the backend servers saw no task that was refused as not run

  Scenario: An agent is frozen and never resumes
    Given a deployment of 2 entries and 3 agents
    When callers submit 100 non-idempotent jobs of 10 tasks through every entry
    And 20 % of the jobs are answered
    And an agent is frozen and never resumes
    And the callers are done
    Then every caller has its own whole answer or a failure with a verdict
    And no caller waited for a job's whole deadline
    And the backend servers saw no task start twice
    And the backend servers saw no task that was refused as not run

  Scenario: Callers at other entries do not notice that the leader is killed
    Given a deployment of 3 entries and 3 agents
    When callers submit 1500 non-idempotent jobs of 1 tasks through the other entries only
    And 20 % of the jobs are answered
    And the leader's entry is killed
    And the callers are done
    Then every caller has its own whole answer
    And no job was submitted twice
    And the backend servers saw no task start twice

  Scenario: Callers at other entries do not notice that the leader is frozen
    Given a deployment of 3 entries and 3 agents
    When callers submit 2500 non-idempotent jobs of 1 tasks through the other entries only
    And 10 % of the jobs are answered
    And the leader's entry is frozen for longer than every lease
    And the callers are done
    Then every caller has its own whole answer
    And no job was submitted twice
    And the backend servers saw no task start twice
    And exactly one entry leads
