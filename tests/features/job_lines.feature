Feature: A job that went wrong keeps all its lines

  A busy entry can't write all lines of all jobs. Whole jobs that went well are
  left out, not lines of any job, so that a job that was late, refused or moved
  can be explained.

  Scenario Outline: The lines between the first and the last are written
    Given an entry's log with 200 jobs on time in one second
    When a job is accepted, its tasks are placed 40 times, and <what>
    Then all its lines are written, each with the time of its decision

    Examples:
      | what                             |
      | it is answered late              |
      | it is refused after waiting      |
      | its caller leaves                |
      | it has failed                    |
      | a run of it is moved             |
      | a run of it is lost              |

  Scenario: Jobs that went well have their first and last line
    Given an entry's log with 200 jobs on time in one second
    Then 100 have their first and last line, and 2 all lines
    And the volume is below that of 24 lines of a kind

  Scenario: More jobs go wrong than can be explained
    Given an entry's log with 200 late jobs in one second
    Then 60 jobs have all lines, and a line tells of 140 others

  Scenario: Lines after the end of a job are not held
    Given an entry's log with a job that has ended
    When a run of it ends
    Then its line is written at once

  Scenario: The lines that are held are bounded
    Given lines held of 2000 open jobs
    Then no line of one more job is held
    And no more than 200 lines of one of them are held

  Scenario: Lines are written so that a pipe keeps them whole
    Given an entry's log with 200 late jobs in one second
    Then no write takes more than a pipe keeps together, or ends within a line

  Scenario: A job's late answer is explained though its agent's lines are missing
    Given the lines of an entry about a late job whose run was long
    Then its history ends with "completed, 150 ms late; longest part: 240 ms ran: TaskEndedAt of entry-1"
