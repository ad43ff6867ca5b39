Feature: Processes of neighbouring releases work side by side

  Scenario Outline: <older> of the release before, and the leader is killed
    Given a deployment of 3 entries and 3 agents with <older> of the release before
    When callers submit 100 non-idempotent jobs of 10 tasks through every entry
    And 20 % are answered
    And the leader's entry is killed
    And 60 % are answered
    And the leader's entry is killed
    And the callers are done
    Then every caller has its own whole answer
    And the backend servers saw no task start twice
    And the backend servers saw every whole job's tasks

    Examples:
      | older                            |
      | entry-0 entry-1 entry-2          |
      | agent-0 agent-1 agent-2          |
      | entry-0 entry-1 agent-0          |

  Scenario: Every process of the release before is replaced in turn under load
    Given a deployment of 2 entries and 3 agents with entry-0 entry-1 agent-0 agent-1 agent-2 of the release before
    When callers submit jobs of 5 tasks until they are stopped
    And the next processes are of this release
    And every agent is replaced in turn
    And every entry is replaced in turn
    And the callers are stopped
    And the callers are done
    Then every caller has its own whole answer
    And no answer was needed twice
    And the backend servers saw no task start twice
    And every planned stop ended well within its bound
