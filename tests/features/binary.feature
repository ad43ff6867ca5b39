Feature: The product ships as one file that runs as one process

  Scenario: The demo shows a whole answer and its measures
    Then the demo prints the answer of 24 tasks and measures from counters

  Scenario: The binary runs in an empty folder
    When the binary is built
    Then its demo shows a whole answer and starts no process
    And it prints its usage
