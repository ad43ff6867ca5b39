Feature: Load is planned from a seed, measured and reported

  Scenario: The ideal response time
    Then the ideal of any job lies between its bounds

  Scenario: A plan is what its profile asks for
    Then the same seed plans the same jobs and another seed others
    And any plan brings the work or the tasks that were asked for
    And an answer that is short, swapped or another job's is wrong
    And a plan with too many tasks is refused

  Scenario: Jobs of the warm-up
    Then jobs that are submitted in the warm-up count in no ratio

  Scenario: A caller comes back with the same id until its bound
    Then a caller that is told to come back does so and gets its answer
    And a caller gives up at its bound

  Scenario: A load run on separate processes loses nothing
    Given a deployment of 2 entries and 3 agents
    When the load command runs 300 tasks with resubmissions and a cancel wave
    Then the report counts every job once and no answer is wrong
    And its messages are those of its starts, results and forwards

  Scenario: The naive version gives the same answers where nothing fails
    Given the naive version with 3 backend servers
    When the load command runs 300 tasks without faults
    Then the report counts every job once and no answer is wrong

  Scenario: The naive version runs a resubmitted task again
    Given the naive version with 3 backend servers
    When the load command runs 300 tasks with resubmissions and a cancel wave
    Then backend servers have seen keys twice

  Scenario: Wrong profiles are refused with their path
    Then a profile with a wrong field is refused with exit code 2

  Scenario: The submit command
    Given a deployment of 2 entries and 3 agents
    Then a submitted file prints its whole answer, twice the same with one id
    And a wrong job is refused with exit code 1
    And a wrong file is refused with exit code 2

  Scenario: Stand-ins of backend servers fail as they are told
    Then a stand-in runs no more tasks at a time than it has slots
    And a black hole fails every task at once
    And a straggling start takes longer
