Feature: Rules for configuration versions, documents and differences

  Scenario: Accepted versions form one sequence despite failures
    Then concurrent changes and failing processes match a list of versions

  Scenario: Accepted versions survive their loss from the store
    Then a loss of versions is reported, not adopted by processes, and repaired

  Scenario: The check of a document covers more than its types
    Then each invalid value is found with path, value and accepted values

  Scenario: Differences describe the change of a document completely
    Then applying the differences of any two documents to one gives the other

  Scenario: A drained agent refuses starts of a leader that does not know of the drain
    Then an agent with a configuration that drains it refuses new starts

  Scenario: The published schema is that of the configuration's types
    Then the schema page equals the schema generated from the types
