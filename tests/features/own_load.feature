Feature: An entry that gets more requests than it can handle stays on time

  Scenario: At three times its rate an entry serves what it can, on time
    Given an entry that gets three times the requests that it can handle
    Then by today's rule nearly all its answers are late
    And by its lag the jobs that it accepts are answered on time
    And it serves as many on time as its processor carries
    And it refuses the others within half of their objective

  Scenario: Without lag nothing is refused
    Given an entry that gets half of the requests that it can handle
    Then by its lag it refuses nothing and stays ready

  Scenario: A job is refused for lag only if it can't be on time
    Then a job that can wait for longer than the lag is accepted
    And a late job is accepted while the entry is not behind
    And a job whose answer would be of no use is refused all the same

  Scenario: A refused caller is told a true time after which to retry
    Then the times are within their bounds, grow and differ

  Scenario: Readiness doesn't flap
    Given an entry that gets three times the requests that it can handle
    Then it is not ready until the load ends, and ready soon after
    And if the balancer heeds it, it is ready again ever more rarely
    And a burst of a second does not change its readiness
