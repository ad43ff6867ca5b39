Feature: A job's history is explained from the log lines of several processes

  Scenario: A job that lost its worker is explained to its end
    Given the shuffled log lines of three processes about two jobs
    Then the first job's lines are in causal order
    And the loss of the backend server comes before the run that it ended
    And the last line names the decision that ended the job

  Scenario: A job whose entry died has no final decision
    Given the shuffled log lines of three processes about two jobs
    Then the second job is reported as having no final decision

  Scenario: The command reads files and reports unknown jobs and missing files
    Given the shuffled log lines of three processes about two jobs
    Then the command prints the first job's history from two files
    And an unknown job and a missing file are errors

  Scenario: Texts that are not log lines are ignored
    Then any texts among the log lines change nothing
