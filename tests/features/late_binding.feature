Feature: Tasks of fully occupied servers are bound late

  Entries tell agents which task they would send next, and agents offer
  capacity that comes free to the entry with the most urgent one.

  Scenario: Full occupation serves the queue that goes first
    When 8 entries share 12 agents that get 1.2 times the work that they can do
    Then 0.85 of the jobs of the first queue are on time
    And 0.6 of the jobs of the last queue are on time
    And at most 0.02 of the tasks sent once all is full came back as not run
    And no promise was broken

  Scenario: A calm deployment sees no new message
    When 8 entries share 12 agents that get 0.3 times the work that they can do
    Then no entry and no agent has sent a message about offers
    And all first starts took one message each

  Scenario Outline: Faults while offers are under way break no promise
    When a deployment at 1.3 times its capacity has random faults, seed <seed>
    Then no promise was broken
    And every caller that waited has its answer

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: Tasks go in one order at entries and agents
    Then tasks that can be on time go before late ones, and by priority
    And a task goes before all others once its caller's time runs out
    And an agent orders a task as its entry does

  Scenario: Capacity that is held for an entry is given back
    Given an agent with one place free that was offered to an entry
    Then the place is free again once the entry's link has ended
    And it is free again when the offer expires
    And it is free again when the entry declines
    And it is free again when the entry has started anew

  Scenario: An agent that is cut off with an offer out keeps no task waiting
    Then the tasks that were sent for the offer of a lost agent run elsewhere

  Scenario: An offer arrives late or twice
    Given an agent with one place free that was offered to an entry
    Then a task that uses an expired offer runs only if there is free capacity
    And two tasks that use the same offer do not both run

  Scenario: A notice is stale
    Given an agent with one place free that was offered to an entry
    Then an entry without waiting tasks declines and takes its notice back
    And an entry that declines is not offered the same again
    And an entry that lets an offer expire is offered nothing for a time
    And an entry declines what it was offered for a more urgent task

  Scenario: A task that no agent may run keeps no other from being offered room
    Then agents are told of a task that they may run, though another is first

  Scenario: An entry that is behind uses no offers
    Then its tasks wait at agents while its ticks come late, and not later

  Scenario: Offers never exceed the capacity
    Then what is held is what is offered, and fits, whatever entries do
