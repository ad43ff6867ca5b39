Feature: The decisions of direct dispatch, one by one

  Scenario: A run is moved only if its caller gains
    Then a run that stands still is moved
    And a run that is on time stays, however slow its server
    And a run on a server that has turned slow is moved where there is room
    And a run that would be late elsewhere too stays

  Scenario: A job is refused only if it can't be served in time
    Then a job is never refused while there is room
    And a job is refused once two thirds of its useful time are not enough
    And a job that was taken in is given up only when no time is left
    And the time to come back is between its bounds
    And agents that meet their servers count as much as those that have

  Scenario: A backend server that spoils its tasks is tried anew
    Then three jobs in a row that go wrong make it pause
    And each trial that fails doubles the pause up to its bound
    And one good run clears it

  Scenario: A lease is surely over when its slowest clock says so
    Then any clock within the drift has ended the lease by then

  Scenario: Estimates that are wrong for whole jobs hardly move a pace
    Then a job of many tasks counts as one
    And a server that turns slow is seen after a few jobs

  Scenario: Each incarnation of an agent has a higher fencing token
    Then an agent that recalls its server takes a token from the first listing

  Scenario: A fencing token far below the one that a server has seen
    Then an agent finds one that its server accepts in a few tries

  Scenario: An agent that wakes trusts no answer to a question before
    Then it takes tasks only after a listing that it has asked for since

  Scenario: An agent tells that a job is over only if it knows all that runs
    Then one that has just started waits for a listing or the longest lease
    And a question before its first tick is not lost

  Scenario: A task that an agent runs for another entry is given back
    Then two entries that send the same run are told apart

  Scenario: The page of log lines lists every kind with its fields
    Then docs/logs.md has a row for each decision

  Scenario: Statuses cost the same however many entries there are
    Then a busy agent of 4 entries tells each of all changes soon
    And a busy agent of 40 entries sends statuses within its bounds

  Scenario: A job that others may hold waits for agents, but not for ever
    Then a job that another entry told of waits until all agents have told
    And a job that an unheard entry may hold waits 0.3 s at most
    And a lost agent is waited for until its runs are surely over
    And an agent that connects again meanwhile is asked again

  Scenario: What a process tells of others and of itself follows the fleet
    Then an agent tells its entries when another one is given up
    And an entry of many agents sends heartbeats less often, and goes on so
    And a new lifetime of a server gets a higher token than the former one
