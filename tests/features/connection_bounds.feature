Feature: Connections are bounded in number, time and memory

  Scenario: Slow senders and idle readers lose their connection only
    Given an HTTP server with short limits
    When one connection sends half a header, one half a body, one reads nothing
    Then the senders get status 408 and the reader is dropped
    And the server answers a good request

  Scenario: More connections than the bound are refused
    Given an HTTP server with short limits
    When one connection more than the bound is opened
    Then it gets status 503 and the others are served

  Scenario: An agent's own port refuses connections beyond its bound
    Given a deployment of 1 entries and 1 agents
    When one connection more than the bound is opened to the agent
    Then the agent answers it with status 503 and the others as usual

  Scenario: A link drops a peer that never reads
    Given a link to a peer that never reads
    When more than the bound is sent to it
    Then the link has ended and holds no more than the bound

  Scenario: A link drops a peer that never introduces itself
    Given a link to a peer that says nothing
    Then the link ends by itself

  Scenario: Flushed messages arrive whole and in order beside the writer's
    Given a link to a peer that reads now and then
    When messages are sent in turns by flushes and by the writer
    Then the peer has received all of them in order
