Feature: A job's life is told from the lines of several processes

  Scenario: A job that lost its worker is explained to its end
    Given the lines of three processes about two jobs, shuffled
    Then the first job's lines come in the order of causes
    And the loss of the backend server stands before the run that it ended
    And the last line names the decision that ended the job

  Scenario: A job whose entry died has no final decision
    Given the lines of three processes about two jobs, shuffled
    Then the second job is said to have ended without a decision

  Scenario: The command reads files and says what it lacks
    Given the lines of three processes about two jobs, shuffled
    Then the command prints the first job's life from two files
    And an unknown job and a missing file are errors

  Scenario: Lines that are none are passed over
    Then any bytes among the lines change nothing
