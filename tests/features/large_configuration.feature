Feature: A large configuration reaches entries with slow links

  A configuration of more than a thousand routes takes seconds on a link of
  2 Mbit/s. It is fetched once, and other entries are asked for it only if
  the store does not deliver it.

  Scenario: A response is received for as long as it makes progress
    Given a store whose responses of 400 KB pass through a link of 2 Mbit/s
    Then the value is read in one call that takes longer than its time limit
    And a watch reports the value in one call

  Scenario: A response that stands still is abandoned
    Given a store whose responses stop in the middle
    Then reading the value fails within 2.5 seconds

  Scenario: Other entries are asked only for what the store does not deliver
    Then no entry is asked while the store has time to deliver a version
    And one entry is asked at a time, and another one if it gives no answer
    And an entry without a configuration asks sooner
    And nothing is asked once the version is active

  Scenario: A configuration of 1,148 routes is short between entries
    Then it is encoded in less than 40 KB and decoded unchanged
    And damaged or endless documents are refused with a reason
