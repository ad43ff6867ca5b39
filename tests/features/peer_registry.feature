Feature: Two entries keep one link to each other

  Scenario: Of the links that two entries open to each other, one is kept
    Then both keep the one that the lower id has opened, whatever the order
    And a newer link of the same entry replaces its former one
    And a link of a new incarnation replaces the former one

  Scenario: An entry is dialled only while it has opened no link itself
    Then it is not dialled again before that link has ended
    And an entry that was unreachable for long is forgotten
