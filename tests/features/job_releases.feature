Feature: A job moves to another entry once its former owner's runs are over

  Scenario: The owner answers once its runs have ended
    Given an entry that runs a job at an agent
    When another entry asks for the job
    Then its caller is told to ask again, and the run is stopped
    And the other entry gets its answer only after the end of the run

  Scenario: The owner has answered the job
    Given an entry that runs a job at an agent
    When the run succeeds and another entry asks for the job
    Then the other entry gets the state in which the job has ended at once

  Scenario: The former owner does not start the job anew
    Given an entry that runs a job at an agent
    When another entry asks for the job and its caller asks the owner again
    Then the owner asks the other entry before it accepts the job
    And it no longer reports the job as its own

  Scenario: A job that is being stopped for another entry is not joined
    Given an entry that runs a job at an agent
    When another entry asks for the job and its caller is faster than the stop
    Then the other entry gets its answer only after the end of the run
    And the owner accepts the job only after the answer of the other entry

  Scenario: Two entries ask each other for the same job
    Given an entry that waits for another one to release a job
    When the other one asks it for the job
    Then its caller is told to ask again, and the other one gets its answer

  Scenario: A request that waited while its entry was paused runs once
    Given an entry that was paused for 2 seconds
    When a job comes that its caller has submitted elsewhere meanwhile
    And the other entry connects and reports it
    Then the entry asks the other one before it starts the job

  Scenario: A job that comes before the first tick after a pause
    Given an entry whose first tick after 2 seconds is still to come
    When a job comes that its caller has submitted elsewhere meanwhile
    And the other entry connects and reports it
    Then the entry asks the other one before it starts the job

  Scenario: New jobs hardly wait for an entry that was paused
    Given an entry that was paused for 2 seconds
    When a job comes that its caller has submitted elsewhere meanwhile
    And no other entry reports it
    Then the entry starts the job 0.3 s after the pause

  Scenario: An owner that can't be reached is asked through others
    Given an entry that shares agents with an unconnected one
    When a job comes that the unconnected entry may run
    Then three others are asked to pass the question on
    And the job is accepted once all have answered, or after 0.3 s

  Scenario: An entry passes a question on
    Given an entry that is connected to the owner of a job
    Then it passes the question on and the answer back
    And it answers at once if the owner is not connected or is lost

  Scenario Outline: The runs of an owner that was lost are waited for by time
    Given an entry to which another one has reported a job
    When that one is <change> and a caller asks for the job
    Then the job is accepted 1.62 s after the owner's last message

    Examples:
      | change                       |
      | lost                         |
      | lost and connected again     |

  Scenario: An owner that comes back while its job is claimed is asked
    Given an entry to which another one has reported a job
    When that one is lost, a caller asks for the job, and it is connected again
    Then it is asked for the job, which is accepted only after its answer

  Scenario: An owner whose link is reset while it is asked is asked again
    Given an entry that waits for another one to release a job
    When the link to that one is reset and it reports the job again
    Then it is asked again, and the job is accepted only after its answer

  Scenario: An entry that has to end answers callers whose job it waits for
    Given an entry that waits for another one to release a job
    When the entry has to end at once
    Then the caller is answered that its job may have run

  Scenario Outline: An owner that was paused first hears of takeovers
    Given an entry that runs a job at an agent
    When the entry is paused for 2 seconds and its agent connects again
    And another entry <reports>
    Then the owner <outcome>

    Examples:
      | reports                     | outcome                             |
      | reports the job as its own  | starts nothing and yields the job   |
      | reports nothing             | starts the task again after 0.3 s   |
