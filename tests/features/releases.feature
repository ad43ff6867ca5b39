Feature: Processes of two successive releases work together

  Scenario Outline: The leader is killed while <older> are of the previous release
    Given a deployment of 3 entries and 3 agents with <older> of the previous release
    When callers submit 100 non-idempotent jobs of 10 tasks through every entry
    And 20 % of the jobs are answered
    And the leader's entry is killed
    And 60 % of the jobs are answered
    And the leader's entry is killed
    And the callers are done
    Then every caller has its own whole answer
    And the backend servers saw no task start twice
    And the backend servers saw all tasks of every whole answer

    Examples:
      | older                            |
      | entry-0 entry-1 entry-2          |
      | agent-0 agent-1 agent-2          |
      | entry-0 entry-1 agent-0          |

  Scenario: Every process of the previous release is replaced in turn under load
    Given a deployment of 2 entries and 3 agents with entry-0 entry-1 agent-0 agent-1 agent-2 of the previous release
    When callers submit jobs of 5 tasks until they are stopped
    And processes started from now on are of this release
    And every agent is replaced in turn
    And every entry is replaced in turn
    And the callers are stopped
    And the callers are done
    Then every caller has its own whole answer
    And no job was submitted twice
    And the backend servers saw no task start twice
    And every planned stop ended well within its bound
