Feature: A lease reaches an agent before the starts that need it

  Scenario: No start is refused for want of a lease
    Then in any order of messages, joining agents refuse no start

  Scenario: A leader learns from its question that it was fenced
    Given a leader with its agents and no work
    When another leader fences an agent unseen
    And the former leader is sent a job older than its term
    Then the job is given back within a round trip

  Scenario: A question keeps the rounds going
    Given a leader with its agents and no work
    When the former leader is sent a job older than its term
    Then it opens a round at the interval of a leader with work

  Scenario: A job newer than all that the agents have begun needs no question
    Given a leader with its agents and no work
    When it is sent a job newer than all that its agents have begun
    Then the leader asks nothing and places its tasks
