Feature: Rounds are piggybacked on starts and results while agents are busy

  Scenario: A result confirms the round that came with a start
    Given an agent that promised a term and holds a lease
    When a start carries round 5
    Then the result confirms round 5 with a fresh stamp
    And the next result confirms nothing

  Scenario: A proof in a start extends the lease before the start is admitted
    Given an agent that promised a term and holds a lease
    When the lease has expired and a start carries a fresh proof
    Then the agent runs the task

  Scenario Outline: A round that a start carried is not confirmed after <event>
    Given an agent that promised a term and holds a lease
    When a start carries round 5
    And <event>
    Then the result confirms nothing

    Examples:
      | event                                      |
      | the agent promises a higher term           |
      | the connection to the leader breaks        |
      | the leader requests round 5 by a heartbeat |
      | a start of the next term carries round 7   |

  Scenario: A result of the next term does not confirm a former term's round
    Given an agent that promised a term and holds a lease
    When a start carries round 5
    And the agent promises a higher term
    Then a result of the higher term confirms nothing

  Scenario: A start of another term requests no confirmation
    Given an agent that promised a term and holds a lease
    When a start of a former term carries round 5
    Then the refusal confirms nothing
    And the next result confirms nothing

  Scenario: A retained result that is sent again confirms nothing
    Given an agent that promised a term and holds a lease
    When a start carries round 5
    Then the result confirms round 5 with a fresh stamp
    And the result that a later term fetches confirms nothing

  Scenario: Only results of the leader's own term confirm its rounds
    Given a leader of 3 agents with a piggybacked round
    When all agents confirm it by results of a former term
    Then the round is not proven

  Scenario: A stamp that confirms a round is proven by a later round only
    Given a leader of 3 agents with a piggybacked round
    When all agents confirm it by results of its term
    Then the round is proven
    And the stamps that came with it are not proven

  Scenario: Proofs are piggybacked only for agents that confirm rounds by results
    Given a leader of 3 agents with a piggybacked round
    When 2 agents confirm it by results of its term
    Then starts to these 2 carry a new proof once, and to the third none

  Scenario: An agent that has not confirmed a round in time gets a heartbeat
    Given a leader of 3 agents with a piggybacked round
    When 2 agents confirm it by results of its term
    And the time for piggybacking has passed
    Then only the third gets a heartbeat with the round

  Scenario Outline: A round is not piggybacked when <case>
    Given a leader of 3 agents with a piggybacked round
    When <case> until the next round
    Then that round is sent to all 3 by heartbeats

    Examples:
      | case                      |
      | only 1 agent gets starts  |
      | no heartbeat was sent     |

  Scenario Outline: The control traffic of 36 busy agents stays below 7 KB a second
    Given a cell of 36 agents that start <rate> tasks a second each
    Then its leader's control traffic takes less than 7000 bytes a second
    And no start is refused

    Examples:
      | rate |
      | 20   |
      | 50   |

  Scenario: Agents that ignore rounds and proofs in starts keep their leases
    Given a cell of 8 agents of the previous release
    Then no start is refused
