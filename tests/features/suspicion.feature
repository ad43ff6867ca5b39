Feature: A backend server that has fallen silent or stands still gets no tasks

  Scenario: Servers that go down and up by turns harm few jobs
    When 3 of 20 servers go down and up by turns
    Then at most 0.06 of the jobs sent after half a second of that are late
    And at least a third fewer of them are late than if no server is suspected
    And no promise was broken

  Scenario: Servers that answer and have stopped working harm few jobs
    When 3 of 20 servers stop working and answer on
    Then at most 0.06 of the jobs sent after half a second of that are late
    And at least a third fewer of them are late than if no server is suspected
    And no promise was broken

  Scenario: Servers that fail all that they begin harm few jobs
    When 3 of 20 servers fail what they begin and finish what they had begun
    Then at most 0.06 of the jobs sent after half a second of that are late
    And at most half as many runs fail as if any success counted
    And no promise was broken

  Scenario: Few answers are late where servers stand still, suspected or not
    When 3 of 20 servers stop working and answer on
    Then at most 0.03 of the jobs sent after half a second of that are late
    And at most 0.03 of them are late if no server is suspected
    And no promise was broken

  Scenario: Few runs fail where servers fail all that they begin
    When 3 of 20 servers fail what they begin and finish what they had begun
    Then at most 0.005 of the jobs sent after half a second of that are late
    And at most 26 runs fail
    And no promise was broken

  Scenario Outline: Random faults break no promise where servers are suspected
    When a deployment whose servers are suspected has random faults, seed <seed>
    Then no promise was broken
    And every caller that waited has its answer

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: What makes a server suspect
    Then two failed polls make it silent, and one answer ends that
    And it is held after its second silence, for longer after the third
    And runs of three jobs that all stand still make it suspect
    And one run that goes on, or ends, shows that it works
    And a run at a silent server is stopped once the server answers
    And a server that answers polls by turning them away is not silent
    And a poll that was sent before the last answer or a pause says nothing
    And a silent server's lease is not renewed, and its agent polls no more than once
    And tasks that wait for it go back to their entry
    And runs that all stand still are reported at once, and count against their server
    But an end of a run shows that the server works

  Scenario: One job never makes a server suspect
    Then no runs of two jobs make it suspect, and no hold is endless

  Scenario: Servers are suspected only where the settings say so
    Then a server is never suspect without the setting
    And suspicion is logged and counted
