Feature: When the system refuses work and says it was not run, it was not run

  Scenario: Deadlines pass while jobs wait for slots
    Given a deployment of 2 entries and 2 agents
    When callers submit 60 jobs of 20 tasks that may take 400 ms
    And 20 % are answered
    And the backend servers become 10 times slower
    And 50 % are answered
    And the backend servers become 1 times slower
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

  Scenario: Cancellations come in waves under load
    Given a deployment of 2 entries and 2 agents
    When callers submit 150 non-idempotent jobs of 20 tasks through every entry
    And every other job is cancelled in 4 waves
    And the callers are done
    Then every caller has its own whole answer or a failure with a verdict
    And some jobs were cancelled and some were not
    And the backend servers saw nothing that was refused as not run
    And the backend servers saw no task start twice

  Scenario: Cancellations come while the leader dies and another takes over
    Given a deployment of 3 entries and 2 agents
    When callers submit 150 non-idempotent jobs of 20 tasks through every entry
    And every other job is cancelled in 1 waves
    And the leader's entry is killed
    And every other job is cancelled in 2 waves
    And the callers are done
    Then every caller has its own whole answer or a failure with a verdict
    And the backend servers saw nothing that was refused as not run
    And the backend servers saw no task start twice

  Scenario: Cancelled tasks free their slots
    Given a deployment of 2 entries and 2 agents
    When jobs of 8 tasks that take 9000 ms use every slot
    And all of them are cancelled
    Then each of them was cancelled
    And a job of 16 tasks gets a complete answer within 4000 ms
