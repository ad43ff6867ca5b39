Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: Entries keep the newest configuration over an outage
    Given a deployment of 3 entries and 1 agents
    When configuration version 2 is applied
    Then every entry has version 2 in force
    When an older document is put into the platform's store
    And the platform is killed
    And the leader's entry is killed
    Then every entry has version 2 in force
    And every entry still serves
