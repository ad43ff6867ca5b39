Feature: A job's history is explained from the log lines of several processes

  Scenario: A job that lost its worker is explained to its end
    Given the shuffled log lines of three processes about two jobs
    Then the first job's lines are in causal order
    And the loss of the backend server comes before the run that it ended
    And the last line names the decision that ended the job

  Scenario: A job whose entry died has no final decision
    Given the shuffled log lines of three processes about two jobs
    Then the second job is reported as having no final decision

  Scenario Outline: The decision is named that a job was late or refused by
    Given the log lines of a job with <lines>
    Then its history ends with "<decision>"

    Examples: refused
      | lines                    | decision |
      | no place offered         | entry-1: waited in vain; no line has its tasks placed: no agent offered capacity |
      | a place taken by others  | entry-1: waited in vain; tasks were placed, and none was done |
      | all domains drained      | entry-1: all failure domains are drained |

    Examples: late
      | lines                    | decision |
      | a wait at the entry      | completed, 150 ms late; longest part: 140 ms waited for capacity at the entry: TasksPlaced of entry-1 |
      | the same, placing unkept | completed, 150 ms late; longest part: 140 ms waited for capacity at the entry: RunStarted of agent-1 |
      | a slow agent             | completed, 150 ms late; longest part: 140 ms passed until the agent saw to it: RunStarted of agent-1 |
      | a wait at the agent      | completed, 150 ms late; longest part: 139 ms waited at the agent: RunStarted of agent-1 |
      | a long run               | completed, 150 ms late; longest part: 240 ms ran: RunEnded of agent-1 |
      | a leaving server         | completed, 150 ms late; longest part: 150 ms before the run that counted, after another one: LeavingRunJudged of entry-1 |
      | a lost server            | completed, 150 ms late; longest part: 150 ms before the run that counted, after another one (gone): TaskEndedAt of entry-1 |
      | a late last line         | completed, 150 ms late; longest part: 180 ms passed after the last run of which a line was kept: RunEnded of agent-1 |
      | no line of a run         | completed, 150 ms late; longest part: the lines of its runs were left out |

    Examples: on time
      | lines                    | decision |
      | a fast run               | entry-1: completed |

  Scenario: What an entry and a server had said before is shown
    Given the log lines of a job with all domains drained
    Then its history has the DomainsDrained of entry-1, and of no other
    Given the log lines of a job with a lost server
    Then its history has the BackendChanged of agent-1, and of no other

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

  Scenario: The command plots the summary
    Given log lines of two entries and an agent about ten jobs
    Then the command writes a plot that names each outcome, route and entry

  Scenario Outline: A plot that can't be written is an error
    Given log lines of two entries and an agent about ten jobs
    Then the command fails for the plot path "<path>", after the tables

    Examples:
      | path                  |
      | no/such/folder/a.svg  |
      | plot.unknown          |

  Scenario: Lines that can't be read are counted and named
    Given log lines of two entries and an agent about ten jobs
    Then a line that was cut is counted and shown in the summary
