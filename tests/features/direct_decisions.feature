Feature: The decisions of direct dispatch, one by one

  Scenario: A run is rescheduled only if its caller gains
    Then a stalled run is rescheduled
    And a run that is on time is not rescheduled, however slow its server
    And a run on a slow server is rescheduled if another has free capacity
    And a run that would be late elsewhere too is not rescheduled

  Scenario: A job is refused only if it can't be served in time
    Then a job is never refused while there is free capacity
    And a job is refused once two thirds of its useful time are not enough
    And a job that was accepted is refused only when no time is left
    And the time after which to retry is between its bounds
    And while no agent knows its server, the wait is that for the first one

  Scenario: A backend server at which tasks fail is probed after a backoff
    Then failures of three jobs in a row start a backoff
    And each probe that fails doubles the backoff up to its bound
    And one successful run ends the probing

  Scenario: A lease counts as expired when it has ended on the slowest clock
    Then the lease has ended by then on any clock within the drift

  Scenario: Estimates that are wrong for whole jobs hardly change a slowdown
    Then a job of many tasks counts once
    And a server that becomes slow is detected after a few jobs

  Scenario: Each incarnation of an agent has a higher fencing token
    Then an agent with a restored report takes a token from the first listing

  Scenario: A fencing token far below the one that a server has seen
    Then an agent finds one that its server accepts in a few attempts

  Scenario: Requests that overtake each other do not raise the fencing token
    Then a poll that another one has overtaken leaves the token as it is
    And starts that are refused together raise the token once

  Scenario: An agent that resumes ignores answers to earlier requests
    Then it accepts tasks only after a listing that it has requested since

  Scenario: An agent reports that a job has ended only if it knows all runs
    Then a newly started agent waits for a listing or the longest lease
    And a request before its first tick is not lost

  Scenario: A task that an agent runs for another entry is returned
    Then two entries that send the same run are distinguished

  Scenario: The page of log lines lists every kind with its fields
    Then docs/logs.md has a row for each decision

  Scenario: The cost of statuses is bounded however many entries there are
    Then a busy agent of 4 entries reports all changes to each soon
    And a busy agent of 40 entries sends statuses within its bounds

  Scenario: A job that other entries may own waits for agents, but not forever
    Then a job that another entry reported waits until all agents have answered
    And a job that an unconnected entry may own waits 0.3 s at most
    And a lost agent is waited for until its runs have expired
    And an agent that connects again meanwhile is asked again

  Scenario: Processes adapt to changes of the other processes
    Then an agent notifies its entries when another one is lost
    And an entry of many agents sends heartbeats less often from then on
    And a new incarnation of a server gets a higher token than the former one

  Scenario Outline: A server that starts anew may run what the former one got
    Given an agent whose server has listed one of its two runs
    When the other start is answered and another incarnation <tells>
    Then the run that the former one had listed is lost at once
    And the other run is lost once the longest lease has ended

    Examples:
      | tells          |
      | lists its runs |
      | reports        |

  Scenario Outline: A server that starts anew tells what it runs
    Given an agent whose server has listed one of its two runs
    When the other start is answered and another incarnation lists its runs
    And the new incarnation reports
    Then the run that the former one had listed is lost at once
    And the other run <outcome>

    Examples:
      | outcome                                        |
      | goes on if the new incarnation lists it        |
      | is lost if the new incarnation does not list it |

  Scenario: A start that finds no server has not run
    Given an agent whose server has listed one of its two runs
    When the other start finds no server at the address
    Then both runs have ended at once, the other as not run
