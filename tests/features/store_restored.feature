Feature: The platform's store returns with older data

  Scenario: A restored store is told, not followed, and repaired
    Given a configured deployment of 2 entries and 2 agents
    When the platform is restored from a backup that is 2 versions old
    Then each entry tells the loss once and serves the newest version
    And an apply and a drain by the store and by an entry are refused
    And the command status fails and names the loss
    And a repair is refused while an entry is silent
    When the store is repaired with what the entries have in force
    Then every process has the document under a version above the lost ones
    And each entry tells the repair once
    And the history names the lost versions and takes the next change
