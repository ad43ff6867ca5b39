Feature: Backend servers that leave with a short notice

  A draining server starts nothing more, and what it runs is lost if it lasts
  longer than the server stays. Such a run is moved in time if its caller
  gains by it and only if it can start elsewhere at once.

  Scenario: A leaving server is used by no estimate from its report on
    Given an agent of three entries whose statuses were sent just now
    When its server reports that it leaves in 1500 ms
    Then each entry is told at once that the agent accepts nothing
    And an entry that is told so counts it in no estimate

  Scenario Outline: An agent reports runs that its leaving server cuts off
    Given an agent whose run of 1000 ms has listed <percent> % after <ran> ms
    When its server reports that it leaves in <leaves> ms
    Then the entry is <told> that the run may be cut off

    Examples:
      | percent | ran | leaves | told     |
      | 0       | 20  | 1500   | not told |
      | 0       | 20  | 700    | told     |
      | 0       | 20  | 790    | not told |
      | 40      | 400 | 500    | told     |
      | 40      | 400 | 590    | not told |
      | 40      | 800 | 900    | told     |
      | 40      | 400 | no     | not told |

  Scenario: A report that was lost is repeated
    Given an agent whose run of 1000 ms has listed 40 % after 400 ms
    When its server reports that it leaves in 500 ms
    Then the entry is told that the run may be cut off
    And it is told again after 0.2 s, but not before

  Scenario Outline: A run is moved if its caller gains by it
    Then a run of 1800 ms, <done> % done, that leaves in <leaves> ms, with <elsewhere> elsewhere and a job of <age> ms <outcome>

    Examples:
      | done | leaves | elsewhere | age  | outcome  |
      | 5    | 1500   | 1.0       | 100  | is moved |
      | 5    | 1500   | nothing   | 100  | stays    |
      | 5    | 1750   | 1.0       | 100  | stays    |
      | 5    | 600    | 1.0       | 100  | stays    |
      | 5    | 1500   | 1.0       | 8000 | stays    |
      | 60   | 600    | 1.0       | 1400 | stays    |
      | 60   | 600    | 0.5       | 1400 | is moved |
      | 60   | 600    | 0.5       | 1200 | stays    |

  Scenario: A run is never moved for nothing
    Then no run that ends in time or that can't start elsewhere is moved

  Scenario: No more runs are moved than can start elsewhere
    Given an entry with four runs at a leaving server and room for two elsewhere
    When it is told that all of them may be cut off
    Then two of them are stopped and start elsewhere, the others stay

  Scenario: Servers with a seventh of the room leave under load
    When pairs of 14 servers leave in turn with a notice of 2 s
    Then no promise of either deployment was broken
    And no run was moved that would have ended before its server left
    And two fifths fewer callers get late answers than if each run stays

  Scenario: Random faults while servers leave and come back cold
    When deployments whose servers leave run random faults of seeds 3, 9 and 10
    Then no promise was broken, all callers have answers, and runs were moved
