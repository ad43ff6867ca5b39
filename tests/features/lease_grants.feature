Feature: A lease reaches an agent before the starts that need it

  Scenario: No start is refused for lack of a lease
    Then in any order of messages, joining agents refuse no start

  Scenario: A leader detects by a ledger query that it was fenced
    Given a leader with its agents and no work
    When another leader fences an agent and the former leader is not notified
    And the former leader is sent a job older than its term
    Then the job is answered "not leader" within a round trip

  Scenario: A leader with an open ledger query opens rounds as with work
    Given a leader with its agents and no work
    When the former leader is sent a job older than its term
    Then it opens a round at the interval of a leader with work

  Scenario: A job newer than all that the agents have begun needs no ledger query
    Given a leader with its agents and no work
    When it is sent a job newer than all that its agents have begun
    Then the leader opens no ledger query and places its tasks
