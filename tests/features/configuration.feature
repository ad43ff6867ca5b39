Feature: Configuration in separate processes

  Scenario: The history has just the accepted ones of 200 concurrent applies
    Given a platform stand-in on loopback
    When 200 applies run concurrently while every tenth answer is lost
    Then the history has just the accepted ones, in consecutive versions

  Scenario: A version becomes active everywhere; a drained agent gets no tasks
    Given a configured deployment of 2 entries and 3 agents
    When an agent is drained by the command
    Then every process names the same version
    And jobs start no tasks on the drained agent
    And jobs start tasks on it again once the drain is undone

  Scenario: Every process keeps serving while the platform is down
    Given a configured deployment of 2 entries and 3 agents
    When the platform is killed and another entry is started
    Then the new entry serves the active version without the platform
    And an apply ends as not accepted with nothing written
    And after the platform's return the next version is active everywhere

  Scenario: A frozen or slow platform delays only changes
    Given a configured deployment of 2 entries and 3 agents
    When the platform is frozen during an apply
    Then jobs are answered through every entry
    And the change is resolved by its id once the platform resumes
    And a slow platform still accepts a change

  Scenario: No process reverts to an older version as others pause, end, start
    Given a configured deployment of 3 entries and 3 agents
    When concurrent applies run while one entry freezes and one is replaced
    Then no process was ever seen with an older version than before
    And every live process has the last accepted version

  Scenario: Processes discover each other through the platform alone
    Given a configured deployment of 2 entries and 3 agents
    When an entry and an agent are started without seeds
    Then every entry knows the new processes

  Scenario: An expired registration is renewed when its entry resumes
    Given a platform stand-in on loopback
    When a registered entry is paused until its lease has expired
    Then the entry is listed again after it resumes
