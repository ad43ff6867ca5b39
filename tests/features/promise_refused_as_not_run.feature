Feature: When the system refuses work and says it was not run, it was not run

  Scenario: Deadlines pass while jobs wait for slots
    Given a deployment of 2 entries and 2 agents
    When callers submit 60 jobs of 20 tasks that may take 400 ms
    And the callers are done
    Then some answers say that tasks were not run
    And every caller has its own whole answer or a failure with a verdict
    And the backend servers saw nothing that was refused as not run
    And the backend servers saw no task start twice

  Scenario: Deadlines pass while the leader dies and another takes over
    Given a deployment of 3 entries and 2 agents
    When callers submit 60 jobs of 20 tasks that may take 600 ms
    And 20 % are answered
    And the leader's entry is killed
    And the callers are done
    Then every caller has its own whole answer or a failure with a verdict
    And the backend servers saw nothing that was refused as not run
    And the backend servers saw no task start twice
