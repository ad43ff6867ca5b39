Feature: A handover needs only one fence

  Scenario: An entry that never led takes over from a leader that shuts down
    Given an entry with an agent and a peer that leads by term 7
    When the peer resigns
    Then the entry fences the agent with term 8 at once
