Feature: A process says how it has started, and how it ends

  Nobody can tell afterwards why a process has ended if its log does not.

  # Guards against ends that leave no line of their own.
  Scenario Outline: An error that ends a process is the last line of its log
    Given a process that logs its decisions
    When it has written <lines> lines at once and then fails
    Then the last line names the error and the place that has raised it
    And no line is missing

    Examples:
      | lines |
      | 0     |
      | 20    |

  Scenario: A process says what it runs on, and that it was told to stop
    Given a deployment of the platform's roles
    When agent "agent-1" and entry "entry-2" are told to stop
    Then each has ended with status 0
    And their first lines name release, Python, machine and process
    And their last lines say that they have stopped
