Feature: The history of configuration versions is bounded

  Scenario: Concurrent applies keep the newest versions and get right outcomes
    Given a platform stand-in on loopback
    When 100 applies run concurrently, keeping 5 audit entries, 3 documents
    Then the store holds just the newest 5 audit entries and 3 documents
    And each outcome agrees with the versions that were written

  Scenario: Pruning needs no additional calls
    Given a platform stand-in on loopback
    When 12 versions are applied one after the other
    Then each of them took one read and one transaction

  Scenario: The commands report what has been pruned
    Given a platform stand-in on loopback
    When 8 versions are applied and the commands ask for pruned ones
    Then a pruned document is reported with its audit entry
    And a pruned audit entry is reported by show and history
    And an apply on a pruned base is refused with a clear error
    And a change whose audit entry is pruned is reported as not known
    And a rollback to a kept version is accepted

  Scenario: An audit entry stays small however much changes
    Then differences are kept up to a bound and the others are counted
