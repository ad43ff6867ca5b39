Feature: A planned stop is a graceful shutdown: it cuts off no request

  Scenario: The leader's entry is stopped under load
    Given a deployment of 3 entries and 3 agents
    When callers submit 1500 non-idempotent jobs of 1 tasks through the other entries only
    And 20 % are answered
    And the leader's entry is stopped as planned
    And the callers are done
    Then every caller has its own whole answer
    And no answer was needed twice
    And the backend servers saw no task start twice
    And every planned stop ended well within its bound

  Scenario: Callers of the stopped entry itself are answered
    Given a deployment of 2 entries and 3 agents
    When 20 callers wait at the leader's entry for tasks of 900 ms
    And the leader's entry is stopped as planned
    And the callers are done
    Then every caller has its own whole answer
    And no answer was needed twice
    And every planned stop ended well within its bound

  Scenario: The only entry finishes its jobs before it leaves
    Given a deployment of 1 entries and 2 agents
    When 10 callers wait at the leader's entry for tasks of 900 ms
    And the leader's entry is stopped as planned
    And the callers are done
    Then every caller has its own whole answer
    And no answer was needed twice

  Scenario: Every process is replaced in turn under load
    Given a deployment of 2 entries and 3 agents
    When callers submit jobs of 5 tasks until they are stopped
    And every agent is replaced in turn
    And every entry is replaced in turn
    And the callers are stopped
    And the callers are done
    Then every caller has its own whole answer
    And no answer was needed twice
    And the backend servers saw no task start twice
    And every planned stop ended well within its bound

  Scenario: A second signal ends an entry with verdicts
    Given a deployment of 1 entries and 1 agents
    When 4 callers wait at the leader's entry for tasks of 8000 ms
    And the leader's entry gets two signals
    And the callers are done
    Then every caller gets an error with verdict may_have_run in time
    And the entry's process has ended

  Scenario: A second signal ends an agent with verdicts
    Given a deployment of 1 entries and 1 agents
    When 4 callers wait at the leader's entry for tasks of 8000 ms
    And the agent gets two signals
    And the callers are done
    Then every caller gets an error with verdict may_have_run in time
