Feature: Load is planned from a seed, measured and reported

  Scenario: The ideal response time
    Then the ideal response time of any job lies between its bounds

  Scenario: A plan follows its profile
    Then the same seed plans the same jobs and another seed others
    And any plan contains the requested work or number of tasks
    And an answer with missing, reordered or another job's results is wrong
    And a plan with too many tasks is refused

  Scenario: Jobs of the warm-up are not measured
    Then jobs that are submitted in the warm-up are excluded from all ratios

  Scenario: A caller resubmits with the same id until its time limit
    Then a caller that is asked to retry resubmits its job and gets the answer
    And a caller stops resubmitting at its time limit

  Scenario: A load run on separate processes loses no answer
    Given a deployment of 2 entries and 3 agents
    When the load command runs 300 tasks with resubmissions and a cancel wave
    Then the report counts every job once and no answer is wrong
    And its message counts agree with its starts, results and cancellations

  Scenario: The naive version gives correct answers when nothing fails
    Given the naive version with 3 backend servers
    When the load command runs 300 tasks without faults
    Then the report counts every job once and no answer is wrong

  Scenario: The naive version runs a resubmitted task again
    Given the naive version with 3 backend servers
    When the load command runs 300 tasks with resubmissions and a cancel wave
    Then backend servers have counted starts with repeated keys

  Scenario: Invalid profiles are refused with the path of the field
    Then a profile with an invalid field is refused with exit code 2

  Scenario: The submit command
    Given a deployment of 2 entries and 3 agents
    Then submitting a file twice with one id prints the same complete answer
    And an invalid job is refused with exit code 1
    And an invalid file is refused with exit code 2

  Scenario: Stand-ins of backend servers fail as configured
    Then a stand-in runs no more tasks at a time than it has slots
    And a black-hole stand-in fails every task immediately
    And a straggling start takes longer
