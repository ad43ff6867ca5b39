Feature: The leader's policy

  Scenario: The policy answers like the naive one where nothing fails
    Then any jobs get the same answers under both policies

  Scenario: Agents are never sent more than they can hold
    Then no agent holds too much, whatever fails or is cancelled

  Scenario: Slow workers are left to the work that would wait longer
    When a cell with 3 slow workers of 11 runs at 80 % under both policies
    Then the slow workers cost the policy less than 0.7 of the naive p99

  Scenario: A slow worker takes what ends there with its job
    When a job of three long tasks and a short one meets a slow worker
    Then the slow worker takes the short task and no long one
    And two slow workers are used at once by a job that waits for long

  Scenario: Declared run times are trusted as far as they proved right
    Then exact declarations are followed and random ones are not

  Scenario: A short task waits while the longest one of its job runs
    When a job that needs its one task comes after a job that has time
    Then the first job's short task waits for it but for no later job

  Scenario: No urgency class starves
    Then any weights give each class its share of a busy cell

  Scenario: Weights change while jobs wait
    When the weights of two busy classes are swapped
    Then the slots follow the new weights

  Scenario: A team finds its quota and lends it while idle
    When a team floods a cell in which another has a quota
    Then the flood borrows the idle slots and gives them back at once

  Scenario: Overload is refused at once as not run
    When jobs arrive at 150 % of the capacity for 20 seconds
    Then refused jobs were never placed and the cell loses no capacity
    And the times to come back are spread and honest
    And no job that is taken in passes its deadline

  Scenario: Jobs that can never be accepted are told why
    Then unknown names and deadlines that no agent can meet are refused

  Scenario: Retries keep to their budget and to the deadline
    When every task of a flood of jobs fails
    Then retries stay within the reserve and the share of successes
    And no try starts that can't end before its deadline

  Scenario: A retry goes to another failure domain
    When a worker fails one task
    Then its second attempt begins in another failure domain
    And a retry waits for another agent rather than return to the same

  Scenario: First attempts are limited by what their kind has taken
    When a cell has seen many tasks of a kind that last 500 ms at most
    Then only first attempts at idempotent tasks are limited to 4 seconds
    And a lost attempt is made again once that limit is surely over
    And a task that the limit cut off is made again beyond the budget
    And an adopted attempt counts with the longest limit

  Scenario: A worker that fails everything is left out and brought back
    When one worker of 11 fails everything for 10 seconds
    Then every idempotent job is answered and the worker got few tasks
    And the worker is used as before once it is well

  Scenario: A probe risks no job that may run once only
    When a worker that fails everything is probed under mixed load
    Then only idempotent tasks were its probes

  Scenario: An agent that refuses starts is not asked again and again
    When one agent of 11 refuses every start for 5 seconds
    Then it was asked few times and every job is answered

  Scenario: A late answer ends a task that waits for another try
    When an agent that was given up answers after all
    Then the job is complete and its task is not begun again
    And a task that waits for a slot is not begun after its late answer
    And an agent that is lost twice puts the next try off twice

  Scenario: A worker that answers at once is left out
    When one worker of 11 answers everything at once for 10 seconds
    Then the worker that answers at once got few tasks

  Scenario: Work that fails everywhere ejects no worker
    When one job in two fails on every worker
    Then no worker is left out and the sound jobs are answered

  Scenario: Only a share of the cell is left out
    When 8 workers of 11 fail everything
    Then at most 3 workers are left out

  Scenario: Stragglers are hedged where the operators allow it
    When one task in a hundred lasts twenty times as long
    Then hedges cut the tail, stay in their budget and free their slots

  Scenario: A straggler is hedged before what waits
    When a straggler runs while many tasks wait
    Then it is begun once more before the last of them

  Scenario: Only what the operators allow is started twice
    Then no task is hedged unless its kind and its job allow it

  Scenario: A cancel wave takes one message for each agent
    When 30 % of the jobs are cancelled within one turn
    Then each agent gets one cancel and every slot is free in the end

  Scenario: An agent ends what is cancelled and nothing else
    Then one cancelled task and one cancelled job leave the rest running

  Scenario: A flapping agent is probed before it is used again
    When one agent of 4 loses its connection three times in 3 seconds
    Then it is left out until a probe succeeds

  Scenario: Excluded and draining backend servers get nothing new
    When one backend server drains and another is excluded
    Then neither is sent a start and the jobs are answered

  Scenario: A lost rack costs idempotent jobs no answer
    When a rack of 3 workers is lost under load
    Then idempotent jobs are answered and no other task runs twice

  Scenario: What a lost agent had is hedged at once where that is allowed
    When a rack of 3 workers is lost under load of a kind that is hedged
    Then no job waits until the lost attempts have reached their limits
    And the lost attempts were begun once more, in other failure domains
    And an agent that connects again at once is not hedged
    And what may have run is made again at once only where that is allowed
