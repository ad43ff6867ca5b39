Feature: The platform's store returns with older data

  Scenario: A restored store's older data is reported, not used, and replaced
    Given a configured deployment of 2 entries and 2 agents
    When the platform is restored from a backup that is 2 versions old
    Then each entry reports the loss once and serves the newest version
    And an apply and a drain through the store or an entry are refused
    And the status command fails and reports the loss
    And a repair is refused while an entry does not answer
    When the store is repaired with the entries' active configuration
    Then every process has the document with a version above the lost ones
    And each entry reports the repair once
    And the history names the lost versions and accepts the next change
