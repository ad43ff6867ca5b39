Feature: A job travels the whole path through separate processes

  Scenario: A caller gets its whole answer in task order
    Given a deployment of 2 entries and 3 agents
    When a job of 40 tasks is submitted through each entry
    Then every answer is complete and in task order
    And no task was started twice

  Scenario: A resubmission through another entry starts nothing again
    Given a deployment of 2 entries and 3 agents
    When the same job of 10 tasks is submitted through every entry at once
    Then every answer is complete and in task order
    And no task was started twice

  Scenario: An answer that no frame can hold is a failure with its verdict
    Given a deployment of 2 entries and 3 agents
    When a job with 25 answers of 3 megabytes is submitted through each entry
    Then every answer says that it is too large and may have run
    When a job of 40 tasks is submitted through each entry
    Then every answer is complete and in task order
    And no task was started twice
