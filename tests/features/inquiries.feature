Feature: What a new leader asks the ledgers for

  Scenario: A fence reply carries what runs, whatever the ledger holds
    Given an agent that runs 2 tasks and has ended 500
    Then its reply to a fence names the 2 running tasks
    And its reply to a query names just what was begun of the jobs asked for
    And its reply to a leader of the release before names all 502

  Scenario: A job older than the term is held until every agent has told
    Given a new leader of 2 agents
    When a job older than the term comes
    Then the leader asks both agents about it and places nothing
    And it places the job once both have told that they know nothing

  Scenario: A job that an agent has run is not run again
    Given a new leader of 2 agents
    When a job older than the term comes
    And one agent tells that it ran the job
    And the other agent tells nothing
    Then the leader fetches the result and starts nothing

  Scenario: A job newer than the term is not asked about
    Given a new leader of 2 agents
    When a job newer than the term comes
    Then it is placed at once

  Scenario Outline: A lost agent keeps back what it alone may know
    Given a new leader of 2 agents
    When a job older than the term comes
    And one agent is lost before it tells
    And the other agent tells nothing
    Then the leader places nothing
    When <event>
    Then <outcome>

    Examples:
      | event                                | outcome                        |
      | it returns and tells nothing         | the job is placed              |
      | it returns and tells of the job      | the result is fetched          |
      | it returns as a new incarnation      | the job is said to may have run |
      | it does not return                   | the job is said to may have run |

  Scenario: An agent that was lost just before is waited for
    Given a new leader of 2 agents
    When one agent is lost before it tells
    And a job older than the term comes
    And the other agent tells nothing
    Then the leader places nothing

  Scenario Outline: A returned agent is asked about what it was sent
    Given a new leader of 2 agents
    When a job newer than the term comes
    And the agent that has it is lost and returns
    Then the leader asks that agent about the job
    When the agent <tells>
    Then the job is placed <times> in all

    Examples:
      | tells                   | times   |
      | tells nothing           | 2 times |
      | tells that it began it  | 1 times |

  Scenario: A returned agent is asked about the open jobs of former terms
    Given a new leader of 2 agents
    When one agent is lost before it tells
    And it does not return
    And an idempotent job older than the term comes
    And the other agent tells nothing
    And one agent comes back
    Then the leader asks that agent about the job

  Scenario: What a reconnected agent told is asked anew
    Given a new leader of 2 agents
    When a job older than the term is read
    And one agent tells that it ran the job
    And the other agent tells nothing
    And one agent is lost before it tells
    And one agent comes back
    And a job older than the term is read
    Then the leader asks that agent about the job

  Scenario: An agent tells what it knows before it leaves
    Given a new leader of 2 agents
    When one agent drains
    Then it may not leave before it has told what it knows
    When it tells of an older job
    And a job older than the term comes
    And the other agent tells nothing
    Then the job is placed
    When it leaves
    And the older job comes
    And the other agent tells nothing
    Then the older job is not run again

  Scenario: A late reply to an earlier query is not taken for a newer one
    Given a new leader of 2 agents
    When a job older than the term comes
    And one agent reconnects and the reply to its first query comes late
    Then the leader places nothing

  Scenario Outline: <request> of a job older than the term waits as well
    Given a new leader of 2 agents
    When <request> of a job older than the term comes
    Then it is answered only once both have told

    Examples:
      | request  |
      | a read   |
      | a cancel |

  Scenario: A job older than the window may have run
    Given a new leader of 2 agents
    When a job older than the window is read and nothing is known of it
    Then the answer says that it may have run

  Scenario: The end of the term sends held requests back
    Given a new leader of 2 agents
    When a job older than the term comes
    And the term ends
    Then the held request is forwarded again

  Scenario: What was said not to have run is not repeated after the term
    Given a new leader of 2 agents
    When a job newer than the term comes
    And its caller cancels it before its second task is placed
    Then the answer says that the second task was not run
    When the term ends
    Then the entry keeps no answer of the job for its next term

  Scenario Outline: Jobs newer than what the ledgers hold are not asked about
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

  Scenario: A record that ends a job hides no other record
    Given a new leader of 2 agents
    When each agent tells its whole ledger, with one task of an older job
    And one agent is restarted
    And that job is submitted again
    Then no task of it is said not to have run

  Scenario: What comes while a query is open is asked once it is answered
    Given a new leader of 2 agents
    When a job older than the term is read
    And another one is read before the agents have told
    And each agent tells nothing
    Then each agent is asked about the other one
