Feature: A resubmission that comes after the result of an adopted task

  Scenario Outline: The result came before the resubmission
    Given a new leader that knows a begun task from a ledger
    When <event>
    And the job is resubmitted to the new leader
    Then the new leader <action> the task

    Examples:
      | event                                   | action  |
      | the task succeeds                       | fetches |
      | the task proves not to have run         | starts  |
      | the agent reconnects with it failed     | fetches |
      | the agent reconnects without its record | starts  |
