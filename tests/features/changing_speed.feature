Feature: A backend server whose speed changes is known after a few jobs

  Estimates of callers are wrong for single jobs; three jobs in a row that take
  twice as long as the others, or half as long, tell of the server.

  Scenario: The slowdown follows a change, in both directions
    Given a server that has run 20 jobs as fast as estimated
    When it runs 3 jobs 7 times slower
    Then its slowdown is above 400 %
    When it runs 3 jobs as fast as estimated
    Then its slowdown is below 150 %

  Scenario: Estimates that are wrong by two fifths don't count as a change
    Given a server that has run 20 jobs as fast as estimated
    When it runs 3 jobs 1.7 times slower
    Then its slowdown is below 120 %

  Scenario: Two slow jobs don't count as a change
    Given a server that has run 20 jobs as fast as estimated
    When it runs 2 jobs 7 times slower
    Then its slowdown is below 130 %

  Scenario: Callers of a deployment in which a third of the servers turn slow
    When half of the capacity is used and a third of the servers turn 7 times slower for 8 s
    Then fewer answers are late than if a change is not told from wrong estimates
    And fewer than if speeds are not learned at all
    And no promise was broken
