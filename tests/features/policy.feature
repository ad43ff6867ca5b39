Feature: Scheduling and fault policies of a cell's leader

  Scenario: The policy gives the same answers as the naive one if nothing fails
    Then any jobs get the same answers under both policies

  Scenario: Agents are never sent more tasks than their slots and queue allow
    Then no agent exceeds its slots and queue, whatever fails or is cancelled

  Scenario: Slow workers are used only where waiting would take longer
    When a cell with 3 slow workers of 11 runs at 80 % under both policies
    Then the policy's p99 is less than 0.7 of the naive policy's p99

  Scenario: A slow worker gets tasks that do not delay the end of their job
    When three long tasks and a short one of a job find a slow worker free
    Then the slow worker gets the short task and no long one
    And two slow slots are used at once by a job that would wait long

  Scenario: Declared run times are weighted by their past accuracy
    Then consistent declarations are followed and random ones are not

  Scenario: A short task waits while the longest one of its job runs
    When a job of one task arrives after a job that waits for a longer task
    Then the first job's short task starts after it but before later jobs

  Scenario: No urgency class starves
    Then any weights give each class its share of a busy cell

  Scenario: Weights change while jobs wait
    When the weights of two busy classes are swapped
    Then the slots follow the new weights

  Scenario: A team can always use its quota, which others borrow while idle
    When a team floods a cell in which another has a quota
    Then the flooding team borrows the idle slots and returns them at once

  Scenario: Overload is refused at once as not run
    When jobs arrive at 150 % of the capacity for 20 seconds
    Then refused jobs were never placed and the cell loses no capacity
    And the retry times are spread out in line with the capacity
    And no accepted job misses its deadline

  Scenario: Jobs that can never be accepted are refused with the reason
    Then unknown names and deadlines that no agent can meet are refused

  Scenario: Retries keep to their budget and to the deadline
    When every task of a flood of jobs fails
    Then retries stay within the initial budget and the share of successes
    And no attempt starts that cannot end before its deadline

  Scenario: A retry goes to another failure domain
    When a worker fails one task
    Then its second attempt begins in another failure domain
    And a retry waits for another agent rather than use the same one

  Scenario: First attempts are limited by the past run times of their kind
    When a cell has seen many tasks of a kind that last 500 ms at most
    Then only first attempts at idempotent tasks are limited to 4 seconds
    And a lost attempt is retried once that limit has expired
    And a task that the limit stopped is retried even without a budget
    And an adopted attempt counts with the longest limit

  Scenario: A worker that fails everything is ejected and reinstated
    When one worker of 11 fails everything for 10 seconds
    Then every idempotent job is answered and the worker got few tasks
    And the worker is used as before once it works again

  Scenario: Jobs that may run only once are not used as probes
    When a worker that fails everything is probed under mixed load
    Then only idempotent tasks were used as probes

  Scenario: An agent that refuses starts gets few further starts
    When one agent of 11 refuses every start for 5 seconds
    Then it got few starts and every job is answered

  Scenario: A late answer ends a task that waits for a retry
    When an agent that was marked as lost answers after all
    Then the job is complete and its task is not begun again
    And a task that waits for a slot is not begun after its late answer
    And an agent that is lost twice delays the retry twice

  Scenario: A worker that answers at once is ejected
    When one worker of 11 answers everything at once for 10 seconds
    Then the worker that answers at once got few tasks

  Scenario: Work that fails everywhere ejects no worker
    When one job in two fails on every worker
    Then no worker is ejected and the other jobs are answered

  Scenario: Only a share of a cell's workers is ejected
    When 8 workers of 11 fail everything
    Then at most 3 workers are ejected

  Scenario: Stragglers are hedged where the operators allow it
    When one task in a hundred lasts twenty times as long
    Then hedges shorten the tail, stay in their budget and free their slots

  Scenario: A straggler is hedged before waiting tasks start
    When a straggler runs while many tasks wait
    Then it is started once more before the last of them

  Scenario: Only tasks for which the operators allow it are started twice
    Then no task is hedged unless its kind and its job allow it

  Scenario: Many cancellations take one message per agent
    When 30 % of the jobs are cancelled within one turn
    Then each agent gets one cancel message and all slots become free

  Scenario: An agent ends only the cancelled tasks
    Then one cancelled task and one cancelled job leave the rest running

  Scenario: A flapping agent is probed before it is used again
    When one agent of 4 loses its connection three times in 3 seconds
    Then it is ejected until a probe succeeds

  Scenario: Excluded and draining backend servers get no new tasks
    When one backend server drains and another is excluded
    Then neither is sent a start and the jobs are answered

  Scenario: Idempotent jobs are answered although a rack is lost
    When a rack of 3 workers is lost under load
    Then idempotent jobs are answered and no other task runs twice

  Scenario: Attempts on a lost agent are hedged at once where that is allowed
    When a rack of 3 workers is lost under load of a kind that is hedged
    Then no job waits until the lost attempts have reached their limits
    And the lost attempts were started once more, in other failure domains
    And an agent that connects again at once is not hedged
    And what may have run is started again at once only where allowed
