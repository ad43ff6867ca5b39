Feature: Configuration in separate processes

  Scenario: Of 200 racing applies the history has the accepted ones
    Given a platform stand-in on loopback
    When 200 applies race while every tenth answer is lost
    Then the history is one line without a gap of just the accepted ones

  Scenario: A version is in force everywhere, and a drained agent rests
    Given a configured deployment of 2 entries and 3 agents
    When an agent is drained by the command
    Then every process names the same version
    And jobs start nothing at the drained agent
    And jobs start tasks there again once the drain is undone

  Scenario: Everything serves on while the platform is down
    Given a configured deployment of 2 entries and 3 agents
    When the platform is killed and another entry is started
    Then the new entry serves the version in force without the platform
    And an apply ends as not accepted with nothing written
    And after the platform's return the next version is in force everywhere

  Scenario: A frozen or slow platform holds nothing up but changes
    Given a configured deployment of 2 entries and 3 agents
    When the platform is frozen during an apply
    Then jobs are answered through every entry
    And the change is settled by its id once the platform thaws
    And a slow platform still accepts a change

  Scenario: No process steps back while others pause, die and start
    Given a configured deployment of 3 entries and 3 agents
    When applies race while an entry is frozen and another is replaced
    Then no process was ever seen with an older version than before
    And every live process has the last accepted version

  Scenario: Processes find each other through the platform alone
    Given a configured deployment of 2 entries and 3 agents
    When an entry and an agent are started without seeds
    Then every entry knows the newcomers

  Scenario: A lapsed registration is renewed when its holder wakes
    Given a platform stand-in on loopback
    When a registered entry sleeps until its lease has lapsed
    Then the entry is found again after it wakes
