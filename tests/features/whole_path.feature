Feature: Jobs run end to end through separate processes

  Scenario: A caller gets its whole answer in task order
    Given a deployment of 2 entries and 3 agents
    When a job of 40 tasks is submitted through each entry
    Then every answer is complete and in task order
    And no task was started twice

  Scenario: A resubmission through another entry starts no task again
    Given a deployment of 2 entries and 3 agents
    When the same job of 10 tasks is submitted through every entry at once
    Then every answer is complete and in task order
    And no task was started twice

  Scenario: An answer too large for a frame fails with a verdict
    Given a deployment of 2 entries and 3 agents
    When a job with 25 answers of 3 megabytes is submitted through each entry
    Then every answer says that it is too large and may have run
    When a job of 40 tasks is submitted through each entry
    Then every answer is complete and in task order
    And no task was started twice
