Feature: Nothing begins in a failure domain that operators have drained

  Scenario: Any order of listings, changes, messages, links and restarts
    Then no process goes back to an older state, believes what the store never had, or starts what it knows to be drained
    And once one entry has read the store, all that are connected to it believe what it has

  Scenario Outline: An entry that missed <missed> ends it at its agents
    Given two entries that know that <before> is drained, and an agent of both
    When one of them tells the agent that <between> is drained, and is cut off
    And the other one reads that <after> is drained
    Then the agent believes that <after> is drained

    Examples:
      | missed              | before | between | after |
      | a drain and its end | ""     | "a"     | ""    |
      | an end and a drain  | "a"    | ""      | "a"   |

  Scenario: A state that crosses a newer one is answered
    Given two entries that know that "" is drained, and an agent of both
    When one tells the other that "a" is drained, as that one reads its end
    Then both entries believe that nothing is drained

  Scenario: A task that is under way as its agent learns of the drain
    Given an agent in "a" that has learnt that "a" is drained
    When a task reaches it
    Then it is rejected as not run, and nothing is started

  Scenario: Queued tasks are rejected at once
    Given an agent in "a" with a task in its queue
    When it is told that "a" is drained
    Then it is rejected as not run, and nothing is started

  Scenario: Not even a task that is already queued begins
    Given an agent in "a" with a task in its queue
    When the agent knows that "a" is drained, and its server has room
    Then nothing is started

  Scenario: An agent in another failure domain goes on
    Given an agent in "b" that has learnt that "a" is drained
    When a task reaches it
    Then the task is started

  Scenario: A drained agent reports to new entries what it knows
    Given an agent in "a" that has learnt that "a" is drained
    Then its first messages to an entry are its failure domain, not accepting, and the drain

  Scenario: Two states of one revision
    Then of two states of one revision the first stays

  Scenario: A message with an impossible drain is refused
    Then a drain at revision 0 and one of a nameless failure domain are violations

  Scenario: Queued tasks of a drained agent go elsewhere, runs go on
    Given a full deployment of 3 failure domains with tasks that wait at agents
    When "a" is drained
    Then nothing begins in "a" from 0.1 seconds after the drain
    And the runs in "a" go on to their end
    And every job that waited is completed elsewhere
    And no promise was broken

  Scenario: Two failure domains at once
    Given a deployment of 3 failure domains under load
    When "a, b" is drained
    Then nothing begins in "a, b" from 0.1 seconds after the drain
    And no promise was broken

  Scenario: All failure domains at once
    Given a deployment of 3 failure domains under load
    When "a, b, c" is drained
    Then new jobs are refused at once with a time after which to retry
    And all entries stay ready
    And jobs are accepted and completed again once "b" is taken back

  Scenario: All failure domains are taken back at once
    Given a deployment of 3 failure domains under load
    When "a, b, c" is drained
    Then all entries stay ready
    And all entries stay ready while "a, b, c" are taken back
    But an agent that accepts nothing after that does not make an entry ready

  Scenario: An entry that has found only drained agents so far
    Given an entry that has just started, and is connected to one drained agent
    Then a job is refused as "no room in time"
    But once it has had time to find the others, as "all failure domains are drained"

  Scenario: A drain that comes and goes within a second
    Given a deployment of 3 failure domains under load
    When "a" is drained and taken back after 0.5 seconds
    Then tasks begin in "a" again within 0.3 seconds
    And no promise was broken

  Scenario: An unknown failure domain
    Given a deployment of 3 failure domains under load
    When "nowhere" is drained
    Then tasks begin in all of "a, b, c"

  Scenario: One entry that reaches the store is enough
    Given a deployment of 3 failure domains under load
    And only "entry-2" reaches the store
    When "a" is drained
    Then nothing begins in "a" from 0.1 seconds after the drain

  Scenario: Restarted entries learn a drain from agents while the store is down
    Given a deployment of 3 failure domains under load
    When "a" is drained
    And the store is down and all entries are killed
    Then nothing begins in "a" from 0.1 seconds after the drain

  Scenario: Restarted agents learn a drain from entries while the store is down
    Given a deployment of 3 failure domains under load
    When "a" is drained
    And the store is down and all agents are killed
    Then nothing begins in "a" from 0.1 seconds after the drain

  Scenario: The store is down while a failure domain is drained and taken back
    Given a deployment of 3 failure domains under load
    When the store is down, "a" is drained, and the store is back after 3 seconds
    Then nothing begins in "a" from 1.2 seconds after the store is back
    And tasks begin in "a" again within 1.5 seconds after it is taken back

  Scenario Outline: Drains under random faults
    When a deployment of 3 failure domains runs random faults and drains with seed <seed>
    Then no promise was broken
    And every caller that waited has its answer

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
