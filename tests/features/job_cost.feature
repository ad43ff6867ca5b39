Feature: What a message, an exchange or a log line costs is bounded

  System calls, tasks and their steps are counted: they repeat, times don't.

  Scenario: A server reads and writes each request once and starts no task
    When 5 requests are served on one connection
    Then each took 1 read, 1 write, 0 new tasks and at most 2 steps

  Scenario: A client writes and reads each exchange once and starts no task
    When 5 requests are exchanged on one connection
    Then each took 1 read, 1 write, 0 new tasks and at most 1 step

  Scenario: A link reads each frame once and writes a turn's messages at once
    When 5 frames of 3 messages are exchanged on a link
    Then each took 1 read, 1 write, 0 new tasks and at most 1 step

  Scenario: A heartbeat for many links is encoded once
    When a heartbeat is encoded for 5 links
    Then it was encoded once

  Scenario: The log lines of a turn are written at once
    When 5 decisions are logged in each of 3 turns
    Then 3 writes have written 15 lines of one eliot task

  Scenario: A status that is the same as the last is sent as a heartbeat
    When an agent sends 4 statuses, of which the third has changed
    Then it has sent "AgentStatus, Beat, AgentStatus, Beat"
    And an entry takes the heartbeat for a status of that time

  Scenario: A dispatch goes over the tasks of those jobs that have some to send
    When an entry has sent all tasks of 3 jobs
    Then a dispatch goes over the tasks of no job
    And once a task came back, it is sent again by the next dispatch
