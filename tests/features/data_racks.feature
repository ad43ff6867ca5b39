Feature: Tasks run near their data where there is room

  Away from its data a task holds its place 1.5 times as long, which takes
  capacity from all queues.

  Scenario: Nearly occupied servers run tasks near their data
    When 8 entries share 15 agents on 3 racks, and 0.3 of the data is on each
    Then 0.95 of the jobs of the first queue are on time
    And 0.85 of the jobs of the last queue are on time
    And more of the jobs of both queues are on time than if any rack will do
    And no promise was broken

  Scenario: A hot rack keeps no task waiting for it
    When 8 entries share 15 agents on 3 racks, and 0.8 of the data is on one
    Then at least as many jobs of both queues are on time as if any rack will do
    And no promise was broken

  Scenario: Whether a task stays near its data
    Then it goes near its data if it is on time there, else where it is
    And it goes anywhere after it has come back three times
    And it goes anywhere where racks make no difference
    And agents near the data are told first that it waits

  Scenario: A rack is only ever a preference
    Then there is a candidate if there was one, and only near ones if any is
