Feature: Limits hold in any span of time

  A limit over a span of time that begins at fixed times would let up to twice
  as much happen in a span that begins between them.

  Scenario: Lines of a kind
    Then in no second are more than 24 lines of a kind written, or 100 final ones
    And lines that are left out are reported once a second, and all of them

  # Guards against a log that nobody reads and that grows for ever.
  Scenario: Lines that nobody reads
    When 60 lines a second are logged for 3 hours and nothing reads them
    Then at most 2000 lines wait to be written
    And once they are read, the lines that were left out are reported

  Scenario: Calls of a watch to the store
    Then in no second does a watch call the store more than 10 times

  Scenario: Statuses of an agent
    Then in no second are more statuses sent than the limit and one an entry
