Feature: Limits hold in any span of time

  A limit over a span of time that begins at fixed times would let up to twice
  as much happen in a span that begins between them.

  Scenario: Lines of a kind
    Then in no second are more than 24 lines of a kind written, or 100 final ones
    And lines that are left out are reported once a second, and all of them

  Scenario: Calls of a watch to the store
    Then in no second does a watch call the store more than 10 times

  Scenario: Statuses of an agent
    Then in no second are more statuses sent than the limit and one an entry
