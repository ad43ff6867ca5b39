Feature: Bad input gets a clear refusal and affects no other request

  Scenario Outline: An entry refuses a bad request
    Given an entry whose ports are open
    When a connection sends <input>
    Then it gets status <status> with verdict not_run
    And a good job is still answered

    Examples:
      | input                       | status |
      | a malformed request line    | 400    |
      | an oversized header         | 431    |
      | an oversized body           | 413    |
      | an endless chunked body     | 413    |
      | a broken chunk              | 400    |
      | half a body and end of file | 400    |
      | a path that is not UTF-8    | 400    |
      | an unknown method           | 405    |
      | a job id that is no UUID    | 400    |
      | a body that is not JSON     | 400    |
      | a body nested too deeply    | 400    |
      | an unknown field            | 400    |
      | more tasks than are allowed | 400    |
      | no tasks                    | 400    |
      | an unknown service          | 404    |

  Scenario: Arbitrary bytes from callers do not stop the entry from serving
    Given an entry whose ports are open
    When connections send bytes that Hypothesis makes up
    Then a good job is still answered

  Scenario: Arbitrary documents from callers are answered
    Given an entry whose ports are open
    When callers send documents that Hypothesis makes up
    Then a good job is still answered

  Scenario: Arbitrary frames from peers do not stop the entry from serving
    Given an entry whose ports are open
    When peers send frames that Hypothesis makes up
    Then a good job is still answered

  Scenario Outline: An entry closes a peer's connection on invalid messages
    Given an entry whose ports are open
    When a peer announces <nonsense>
    Then the entry closes the peer's connection
    And a good job is still answered

    Examples:
      | nonsense                  |
      | an agent without slots    |
      | an agent without a name   |
      | an entry without a port   |
      | an unknown verdict        |

  Scenario: A kind that is not valid in a header does not break an agent
    Given an entry whose ports are open
    When a job's kind holds line breaks and other scripts
    Then it gets its whole answer
    And a good job is still answered

  Scenario: An agent of another service gets no tasks of this one
    Given an entry whose ports are open
    When a peer announces an agent of another service
    Then a good job is still answered
    And the peer received no start message

  Scenario: Only links on which the peer must send have a receive timeout
    Given an entry whose ports are open
    When another entry sends heartbeats on the link that it dialled
    Then the entry keeps its own link to it for 18 s
    When the other entry stops sending
    Then the entry closes the peer's connection

  Scenario: A job continues after its caller resets the connection
    Given an entry whose ports are open
    When a caller resets its connection while its job runs
    Then the entry holds no caller
    And the job's answer can be read later

  Scenario: A half-closed connection gets its answer
    Given an entry whose ports are open
    When a caller half-closes its connection after its job
    Then it gets its whole answer

  Scenario: Pipelined requests are answered in order
    Given an entry whose ports are open
    When a caller sends two jobs at once on one connection
    Then it gets both answers in order
