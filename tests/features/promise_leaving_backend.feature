Feature: A backend server that is leaving receives no new work

  Scenario: An agent drains while long tasks run on it
    Given a deployment of 2 entries and 2 agents
    When callers submit 120 non-idempotent jobs of 1 tasks that take 300 ms
    And 10 % of the jobs are answered
    And an agent is sent a termination signal
    And the callers are done
    Then every caller has its own whole answer
    And no job was submitted twice
    And its backend server was sent no further task once a second had passed
    And the backend servers saw no task start twice
