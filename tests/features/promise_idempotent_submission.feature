Feature: Submission is idempotent: no task of a submission starts twice

  Scenario: Two of three entries are killed in turn
    Given a deployment of 3 entries and 3 agents
    When callers submit 150 non-idempotent jobs of 10 tasks through every entry
    And 20 % of the jobs are answered
    And the leader's entry is killed
    And 60 % of the jobs are answered
    And the leader's entry is killed
    And the callers are done
    Then every caller has its own whole answer or a failure with a verdict
    And the backend servers saw no task start twice
    And the backend servers saw all tasks of every whole answer
    And the backend servers saw no task that was refused as not run

  Scenario: The leader is frozen for longer than every lease and resumes
    Given a deployment of 3 entries and 3 agents
    When callers submit 150 non-idempotent jobs of 10 tasks through every entry
    And 20 % of the jobs are answered
    And the leader's entry is frozen for longer than every lease
    And the callers are done
    Then every caller has its own whole answer or a failure with a verdict
    And the backend servers saw no task start twice
    And the backend servers saw no task that was refused as not run
    And exactly one entry leads

  Scenario: All connections between the processes are cut repeatedly
    Given a relayed deployment of 2 entries and 3 agents
    When callers submit 100 non-idempotent jobs of 10 tasks through every entry
    And 10 % of the jobs are answered
    And all connections are cut 4 times
    And the callers are done
    Then every caller has its own whole answer or a failure with a verdict
    And the backend servers saw no task start twice
    And the backend servers saw no task that was refused as not run

  Scenario: The leader's connections stall for longer than every lease
    Given a relayed deployment of 2 entries and 3 agents
    When callers submit 100 non-idempotent jobs of 10 tasks through every entry
    And 10 % of the jobs are answered
    And the connections of the leader stall for longer than every lease
    And the callers are done
    Then every caller has its own whole answer or a failure with a verdict
    And the backend servers saw no task start twice
    And the backend servers saw no task that was refused as not run
