Feature: Backend servers whose capacity shrinks and grows while they run

  A server starts whatever it is sent, so its agent must send it no more than
  it has. What has shrunk counts once the server had time to report it.

  Scenario Outline: A server that shrinks gets no more than it has
    Given a deployment of <agents> agents with more work than it has capacity
    When servers shrink and grow at random for 12 s with seed <seed>
    Then no server was sent more than it had reported
    And the capacity that has grown is used

    Examples:
      | agents | seed |
      | 3      | 1    |
      | 5      | 2    |
      | 8      | 3    |

  Scenario: Runs of a server that shrinks below them go on
    Given an agent whose server runs four tasks and has room for four
    When the server reports room for two
    Then no run is stopped, and nothing starts until three have ended
    And a task that no longer fits the server is returned as not run

  Scenario: An older report does not bring back capacity that has shrunk
    Given an agent whose server runs four tasks and has room for four
    When the server reports room for two
    And an older report with room for four arrives late
    Then no run is stopped, and nothing starts until three have ended
