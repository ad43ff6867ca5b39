Feature: Backend servers that are cold after their start

  A server may run tasks more slowly for some time after its start, and says
  for how long. What is measured meanwhile is kept apart, and tasks go to warm servers first while these have room.

  Scenario: Run times of a cold server say nothing about it later
    Given a server that runs tasks as fast as callers estimate
    When it is cold for 4 s and runs tasks in 2.5 times the estimated time
    Then its slowdown is close to 250 % while it is cold
    And its slowdown is 100 % as before once it is warm
    And a run time from before the end of the cold time is not counted
    And the next cold time begins with what is known of the warm server

  Scenario: A status tells how long a server is cold
    Given an agent whose server is cold for 4 s more
    Then its status tells how long it is cold, and nothing later

  Scenario: Tasks go to warm servers first
    Then a task goes to a cold server only if no warm one has room
    And a long task is expected to be faster once the server is warm

  Scenario: A failure domain comes back cold beside warm servers with room
    When four of 12 servers come back cold under a load of 0.6
    Then no promise was broken with either rule
    And fewer callers get late answers than by the former rule

  Scenario: A failure domain comes back cold while tasks wait
    When four of 12 servers come back cold under a load of 0.85
    Then no promise was broken with either rule
    And about as many callers get late answers as by the former rule
