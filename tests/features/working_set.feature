Feature: Each agent serves a bounded set of entries

  The links of an agent and of an entry do not depend on the number of
  machines. The sets cover the failure domains, are about equally large, move
  little and are repaired.

  Scenario Outline: Sets of <entries> entries and <agents> agents
    Given the working sets of <agents> agents and <entries> entries
    Then each agent serves 8 entries, in each of the failure domains
    And each entry has about as many agents as the others, in all domains
    And an entry that comes or goes changes only sets that it belongs to

    Examples:
      | entries | agents |
      | 9       | 30     |
      | 35      | 160    |
      | 150     | 850    |

  Scenario: Few entries are all served
    Then up to 8 entries are all served, whatever the order in which they come

  Scenario: A set is repaired and restored
    Then an unreachable entry is replaced at once and still dialled
    And it is served again, in place of its substitute, once it is back
    And a seed is never forgotten, another entry is after a long time

  Scenario: An entry is served for a time on request
    Then it is served for its time, and longer while it has runs
    And no more than a bounded number is

  Scenario: An agent leaves an entry outside its set without losing a task
    Then the entry is told first, and the link is closed after its runs
    And an entry that returns to the set is told so

  Scenario: An entry whose agents are full asks for agents with capacity
    Then it asks three others at most, and not again at once
    And the others send agents that can begin the task and do not serve it
    And nothing is asked if every agent serves all entries

  Scenario: An entry sends heartbeats only where it has sent nothing else
    Then an agent that was sent tasks gets no heartbeat for an interval

  Scenario: A status is sent at once only if it changes a choice
    Then a change far from full waits for the next heartbeat
    And the last free capacity is reported at once, and when it is free again

  Scenario: Free capacity that an entry does not see is used
    Given a deployment of 24 entries and 48 agents with sets of 2 entries
    When one entry gets more jobs than its agents can run
    Then the jobs are completed as fast as if all agents were its own
    And no promise was broken

  Scenario Outline: Random faults with small sets, seed <seed>
    When a deployment with sets of 2 of 5 entries runs random faults, seed <seed>
    Then no promise was broken
    And every caller that waited has its answer

    Examples:
      | seed | cause                                                    |
      | 18   | a run at an agent that only its former owner knew        |
      | 114  | a paused owner that went on before it heard of takeovers |
      | 1    | none                                                     |
      | 2    | none                                                     |

  Scenario: A connected process seldom lists the entries in the store
    Then it lists them at its start, and then about every 30 seconds
    And one without a connection lists them about every 5 seconds
