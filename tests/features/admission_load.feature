Feature: Under overload, callers get more with admission by the whole job

  Scenario: Three queues of jobs of one to 32 tasks, at entries with shared agents
    Given callers that request half as much again as all servers can do
    When the load is played with the former rule of admission and with this one
    Then far more callers are served on time, above all in the first queue
    And no more callers than one in thirty wait for a useless answer
    And no size of jobs is served half as often as its queue
    And all callers that stayed have an answer, and no invariant is violated
