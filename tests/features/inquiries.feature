Feature: A new leader's queries to the ledgers of its agents

  Scenario: A fence reply names only running tasks, whatever the ledger's size
    Given an agent that runs 2 tasks and has ended 500
    Then its reply to a fence names the 2 running tasks
    And its reply to a query names only the begun ones of the jobs asked for
    And its reply to a leader of the release before names all 502

  Scenario: A job older than the term waits until every agent has reported
    Given a new leader of 2 agents
    When a job older than the term comes
    Then the leader asks both agents about it and places nothing
    And it places the job once both have reported no records

  Scenario: A job that an agent has run is not run again
    Given a new leader of 2 agents
    When a job older than the term comes
    And one agent reports that it ran the job
    And the other agent reports no records
    Then the leader fetches the result and starts nothing

  Scenario: A job newer than the term is not asked about
    Given a new leader of 2 agents
    When a job newer than the term comes
    Then it is placed at once

  Scenario Outline: A job waits for a lost agent that may have run it
    Given a new leader of 2 agents
    When a job older than the term comes
    And one agent is lost before it reports
    And the other agent reports no records
    Then the leader places nothing
    When <event>
    Then <outcome>

    Examples:
      | event                                | outcome                                  |
      | it reconnects and reports no records | the job is placed                        |
      | it reconnects and reports the job    | the result is fetched                    |
      | it reconnects as a new incarnation   | the reply says that the job may have run |
      | it does not reconnect                | the reply says that the job may have run |

  Scenario: A job waits for an agent that was lost just before
    Given a new leader of 2 agents
    When one agent is lost before it reports
    And a job older than the term comes
    And the other agent reports no records
    Then the leader places nothing

  Scenario Outline: A reconnected agent is asked about the tasks that it was sent
    Given a new leader of 2 agents
    When a job newer than the term comes
    And the agent that has it is lost and reconnects
    Then the leader asks that agent about the job
    When the agent <reports>
    Then the job is placed <times> in all

    Examples:
      | reports                       | times   |
      | reports no records            | 2 times |
      | reports that it began the job | 1 times |

  Scenario: A reconnected agent is asked about the open jobs of former terms
    Given a new leader of 2 agents
    When one agent is lost before it reports
    And it does not reconnect
    And an idempotent job older than the term comes
    And the other agent reports no records
    And one agent reconnects
    Then the leader asks that agent about the job

  Scenario: What a reconnected agent reported before is asked for again
    Given a new leader of 2 agents
    When a job older than the term is read
    And one agent reports that it ran the job
    And the other agent reports no records
    And one agent is lost before it reports
    And one agent reconnects
    And a job older than the term is read
    Then the leader asks that agent about the job

  Scenario: A draining agent reports what it knows before it shuts down
    Given a new leader of 2 agents
    When one agent drains
    Then it may not shut down before it has reported what it knows
    When it reports an older job
    And a job older than the term comes
    And the other agent reports no records
    Then the job is placed
    When it shuts down
    And the older job comes
    And the other agent reports no records
    Then the older job is not run again

  Scenario: A late reply to an earlier query is not accepted for a newer one
    Given a new leader of 2 agents
    When a job older than the term comes
    And one agent reconnects and the reply to its first query comes late
    Then the leader places nothing

  Scenario Outline: <request> of a job older than the term waits as well
    Given a new leader of 2 agents
    When <request> of a job older than the term comes
    Then it is answered only once both have reported

    Examples:
      | request  |
      | a read   |
      | a cancel |

  Scenario: A job older than the window may have run
    Given a new leader of 2 agents
    When a job older than the window is read and nothing is known of it
    Then the answer says that it may have run

  Scenario: The end of the term returns the deferred requests
    Given a new leader of 2 agents
    When a job older than the term comes
    And the term ends
    Then the deferred request is returned for forwarding

  Scenario: An answer that says not run is not repeated after the term
    Given a new leader of 2 agents
    When a job newer than the term comes
    And its caller cancels it before its second task is placed
    Then the answer says that the second task was not run
    When the term ends
    Then the entry keeps no answer of the job for its next term

  Scenario Outline: Jobs newer than every record of the ledgers are not asked about
    Given an agent that has begun a job made 10 s ago and <tells>
    When a leader takes over by a roster with its <which> incarnation at once
    And a job that was made <age> s ago comes
    Then the leader asks about <asked> job

    Examples:
      | tells           | which   | age | asked |
      | tells it        | present | 9   | no    |
      | tells it        | present | 10  | one   |
      | tells it        | present | 11  | one   |
      | tells it        | former  | 0   | one   |
      | doesn't tell it | present | 0   | one   |

  Scenario: A record that ends a job does not hide the other records
    Given a new leader of 2 agents
    When each agent reports its whole ledger, with one task of an older job
    And one agent is restarted
    And that job is submitted again
    Then no task of it has the verdict not run

  Scenario: A job requested while a query is open is asked about after the reply
    Given a new leader of 2 agents
    When a job older than the term is read
    And another one is read before the agents have reported
    And each agent reports no records
    Then each agent is asked about the other job
