Feature: A caller is told before it leaves that its job can't end in time

  Scenario: A job can't begin before its caller leaves
    Given an entry whose agents are fully occupied
    When a caller that waits for less than its latency objective submits a job
    Then it is refused as not run before it leaves, and not before it has to be
    And it is told when to come back

  Scenario: Callers that leave early under full occupation
    When callers that leave after 0.3 to 3 times their run time share 6 agents
    Then no caller that left was waiting for a job that never began
    And no job that had begun was refused

  Scenario: Any wait, run time and free capacity
    Then a job begins at once if it fits, or is refused before its caller leaves
