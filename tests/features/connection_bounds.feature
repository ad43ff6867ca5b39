Feature: Connections are bounded in number, time and memory

  Scenario: Slow senders and readers lose only their own connection
    Given an HTTP server with short limits
    When one connection sends half a header, one half a body, one reads nothing
    Then the senders get status 408 and the reader is dropped
    And the server answers a valid request

  Scenario Outline: No method ends the process of a server
    Given an HTTP server with short limits
    When a <method> request is sent
    Then it gets status <status> with its body <body>
    And the server answers a valid request

    Examples:
      | method  | status | body     |
      | HEAD    | 200    | left out |
      | CONNECT | 405    | sent     |
      | OPTIONS | 200    | sent     |
      | TRACE   | 200    | sent     |
      | PRI     | 200    | sent     |

  Scenario: More connections than the bound are refused
    Given an HTTP server with short limits
    When one connection more than the bound is opened
    Then it gets status 503 and the others are served

  Scenario: Connections that wait together do not wait for one another
    Given an HTTP server that is busy while 20 connections are opened
    Then all of them are accepted in one turn of its loop

  Scenario: Many requests at a time do not keep a slow process from its timers
    Given an HTTP server so slow that a request takes 30 ms
    When 20 requests arrive, half of them while the others wait
    Then no timer of the process is late by more than 0.25 s
    And those that came first are handled first

  Scenario: A request that a slow process can't begin in time is refused
    Given an HTTP server so slow that a request takes 300 ms
    When 20 requests arrive, half of them while the others wait
    Then each is handled within 1 s or so, or gets status 503

  Scenario: A response does not wait for turns of the loop
    Given an HTTP server with short limits
    Then a response is sent in the turn in which its handler returns

  Scenario: An agent's own port refuses connections beyond its bound
    Given a deployment of 1 entries and 1 agents
    When one connection more than the bound is opened to the agent
    Then the agent answers it with status 503 and the others as usual

  Scenario: A link drops a peer that never reads
    Given a link to a peer that never reads
    When more than the bound is sent to it
    Then the link has ended and has stored no more than the bound

  Scenario: A link drops a peer that never introduces itself
    Given a link to a peer that sends nothing
    Then the link ends by itself

  Scenario: Messages of flushes and of the writer arrive complete and in order
    Given a link to a peer that reads slowly
    When messages are sent alternately by flushes and by the writer
    Then the peer has received all of them in order

  Scenario Outline: A server that stops answers those that have connected
    Given a caller whose connection the server has not accepted yet
    When the server stops and the request comes <late> s later
    Then the caller gets its answer, and the server accepts no more

    Examples:
      | late |
      | 0    |
      | 0.1  |
