Feature: Each failure of an exchange with a backend server has a verdict

  Scenario Outline: A failed exchange
    Given a backend server that <fault>
    When a task is posted to it
    Then the exchange fails as <verdict>
    And the backend server saw at most one request

    Examples:
      | fault                                     | verdict      |
      | refuses connections                       | not_run      |
      | resets before the first byte              | may_have_run |
      | closes before the first byte              | may_have_run |
      | resets within the status line             | may_have_run |
      | resets within the body                    | may_have_run |
      | answers with garbage                      | may_have_run |
      | truncates a body of known length          | may_have_run |
      | truncates a chunked body                  | may_have_run |
      | sends a body without a length             | may_have_run |
      | sends a response over the limit           | may_have_run |
      | answers too late                          | may_have_run |
      | never ends its answer                     | may_have_run |

  Scenario: A response that arrives byte by byte is complete
    Given a backend server that sends its answer byte by byte
    When a task is posted to it
    Then the response is complete

  Scenario: An idle connection that the server has closed is not used
    Given a backend server that closes after its answer
    When a task is posted to it twice
    Then the response is complete
    And the backend server saw two connections

  Scenario: A request whose reused connection breaks is not retried
    Given a backend server that closes at its second request
    When a task is posted to it twice
    Then the exchange fails as may_have_run
    And the backend server saw two requests

  Scenario: A connection that was idle for long is not used
    Given a backend server that closes at its second request
    When a task is posted to it, and again much later
    Then the response is complete
    And the backend server saw two connections

  Scenario: Waiting for a free connection is part of the time limit
    Given a backend server that answers too late
    When two tasks are posted over its only connection
    Then the second exchange fails as not_run

  Scenario: A request that its check before sending refuses is not sent
    Given a backend server that closes after its answer
    When a task is posted that its check before sending refuses
    Then the exchange fails as not_run
    And the backend server saw a connection and no request

  Scenario: An agent's lease expires while a task waits for a connection
    Given a backend server that answers after a pause
    When an agent with one connection is given two tasks
    And its lease expires before one is answered
    Then the backend server saw one task only
    And the leader receives the result that the other was not run

  Scenario: An exchange that is cancelled resets its connection
    Given a backend server that waits for more data
    When a task is posted to it and cancelled
    Then the backend server sees a reset
