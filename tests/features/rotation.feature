Feature: An entry that is behind leaves the balancer's rotation

  Scenario: One slow entry of four, while the others have room
    Given 4 entries that callers use at 0.4 of what each can carry
    When one of them is 4 times as slow for 20 s
    Then at most 0.15 of the callers of that time wait for more than 0.2 s
    And it has left and returned at most 3 times, and is back at the end
    And its log lines say when and why

  Scenario: All entries are behind
    Given 4 entries that callers use at 0.6 of what each can carry
    When all of them are 4 times as slow for 10 s
    Then none has left the rotation

  Scenario: The others can't carry the callers of the one that has left
    Given 3 entries that callers use at 0.8 of what each can carry
    When one of them is 2 times as slow for 10 s
    Then at most 0.5 of the callers of that time wait for more than 0.2 s
    And the entries have not left for more than 0.3 of that time

  Scenario: An entry that was paused once stays
    Given 4 entries that callers use at 0.2 of what each can carry
    When one of them is paused for 0.3 s
    Then none has left the rotation

  Scenario: Callers' objectives have no slack, or other entries are of an earlier release
    Then an entry leaves only if the objectives have a slack
    And an entry of an earlier release counts as one with room
    And one that has left, or is no longer connected, does not

  Scenario: Connections that stay open do not keep their callers at the entry
    Given an entry with open connections that leaves the rotation
    Then idle ones are closed, and the others after their response
    And connections are kept open again after its return
    And they are not if the entry is to stop
