Feature: The history of configuration versions is bounded

  Scenario: Racing applies keep the newest versions and mistake none
    Given a platform stand-in on loopback
    When 100 applies race for a history of 5 audit entries and 3 documents
    Then the store holds just the newest 5 audit entries and 3 documents
    And each outcome agrees with what was once written

  Scenario: Pruning makes no calls of its own
    Given a platform stand-in on loopback
    When 12 versions are applied one after the other
    Then each of them cost one read and one transaction

  Scenario: The commands say what has been pruned
    Given a platform stand-in on loopback
    When 8 versions are applied and the commands ask for pruned ones
    Then a pruned document is told with its audit entry
    And a pruned audit entry is told by show and history
    And an apply on a pruned base is refused with a clear error
    And a change whose audit entry is pruned is told as not known
    And a rollback to a kept version is accepted

  Scenario: An audit entry stays small however much changes
    Then differences are kept up to a bound and the others are counted
