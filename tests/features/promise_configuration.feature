Feature: An accepted configuration is active everywhere and never reverts

  Scenario: Entries keep the newest configuration when the platform fails
    Given a deployment of 3 entries and 1 agents
    When configuration version 2 is applied
    Then every entry has version 2 active
    When an older document is put into the platform's store
    And the platform is killed
    And the leader's entry is killed
    Then every entry has version 2 active
    And every entry still serves

  Scenario: The platform's answers are lost after writes that took effect
    Given a deployment of 3 entries and 2 agents
    When callers submit 900 non-idempotent jobs of 10 tasks through every entry
    And an agent joins while the platform's next answer is lost
    And a version is applied while the platform's next answer is lost
    And the leader's entry is killed
    And the callers are done
    Then every caller has its own whole answer
    And the change was accepted once
    And the cell has 3 members
    And the backend servers saw no task start twice

  Scenario: Another server listens on the platform's port
    Given a deployment of 2 entries and 1 agents
    When the platform is killed and a backend server takes its port
    And it was sent calls to the platform
    Then no entry has ended
    And every entry still serves
