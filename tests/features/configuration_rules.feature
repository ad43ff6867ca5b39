Feature: Decisions about configuration versions

  Scenario: Accepted versions form one line, whatever fails
    Then racing changes and failing processes agree with a list of versions

  Scenario: Accepted versions outlive a store that loses them
    Then a store that loses versions is told, never followed, and repaired

  Scenario: A document is checked beyond its types
    Then each wrong reference is found with path, value and what is accepted

  Scenario: Differences lead from one document to the other
    Then applying the differences of any two documents to one gives the other

  Scenario: The drained agent refuses what only it has heard of
    Then an agent that learns that it is drained refuses new starts

  Scenario: The published schema is the types' schema
    Then the schema page equals what the types give
