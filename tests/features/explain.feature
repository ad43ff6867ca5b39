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

  Scenario: The fates of many jobs are summarized
    Given log lines of two entries and an agent about ten jobs
    Then each job is counted once, as what became of it
    And the runs that did not begin are counted with their reasons
    And the wait until the first start is counted from the acceptance
    And neither the order of the lines nor other texts matter

  Scenario: The command prints the summary by route, size, entry and second
    Given log lines of two entries and an agent about ten jobs
    Then the command prints a table of each
    And a summary of lines that name no job fails
