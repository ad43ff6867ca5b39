Feature: Without one of its guards a cell breaks a promise

  Scenario Outline: <guard>
    When these rules run, no promise breaks: <rules>
    Then without "<guard>" a promise breaks

    Examples:
      | guard                                                    | rules                                         |
      | uncertain-before time raised when a member is removed    | agent removed, leader killed                  |
      | uncertain-before time raised when a member has restarted | agent restarted, leader killed                |
      | roster in the fence reply                                | agent added, leader killed                    |
      | roster changed only after the last change is recorded    | two agents added, leader partitioned          |
      | newest job in the fence reply                            | job id ahead of time, leader killed           |
      | waiting for the reports of lost agents                   | leader killed, agent cut off for 0.3 s        |
      | querying a reconnected agent again                       | leader killed, job read, agent disconnected   |
      | uncertain-before time raised for unreachable agents      | leader killed, agent cut off for 2.5 s        |
      | lease check at the agent                                 | starts delayed                                |
      | roster changed by one member at a time                   | two agents added, leader partitioned          |
      | querying a reconnected agent for waiting requests        | leader killed, agent disconnected while asked |
