Feature: Jobs that can't be served in time are refused on arrival

  Scenario: A job is refused only if it can't be served in time
    Then a job is never refused while there is free capacity for all its tasks
    And free capacity for some tasks of a job only shortens its wait
    And a job is refused once two thirds of its useful time are not enough
    And a job that was accepted is refused only when no time is left
    And the time after which to retry is between its bounds
    And a job waits longer, the more urgent work arrives meanwhile
    And arriving work counts by its priority and less the older it is
    And agents that still discover their servers count as much as the others

  Scenario: An entry accepts what fits, and answers what it has accepted
    Then no job is refused on arrival if all its tasks would begin at once
    And each job gets one answer, in time if it is refused
    And callers that are refused together return at different times
