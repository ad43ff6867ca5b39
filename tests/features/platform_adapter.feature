Feature: The adapter translates the platform's protocol

  Stand-ins of the store and of a runner implement the published protocol
  on loopback addresses.

  Scenario: The store's client reads, writes, leases and watches
    Given a store stand-in
    Then a value is written, read, and swapped only at its revision
    And a range of three pages is listed completely
    And a key is deleted when its lease is revoked
    And a watch reports each change in order
    And a change at the end of a watch's wait is reported or follows

  Scenario: A faulty store raises an error and never gives an empty answer
    Given a store stand-in
    Then "busy", "silent" and "lost" answers raise an error within 2 seconds
    And a watch whose history is gone raises an error
    And a value that is not base64 raises an error

  Scenario: A runner's answers are decoded
    Given a runner stand-in
    Then a start is answered as started, stale run, too late and stale token
    And a poll lists each ended run until it is acknowledged
    And another incarnation, a lower token and no listener raise different errors
    And a poll that is turned away has been answered, one without listener not

  Scenario Outline: An invalid report of a runner is refused
    Then the report <report> is refused with a reason

    Examples:
      | report                                                      |
      | {}                                                          |
      | not json                                                    |
      | {"service":7}                                               |
      | {"service":"s","state":"asleep","capacity":{"cpu":1,"memMb":1},"seq":1,"clockMs":1,"born":1} |
      | {"service":"s","state":"ready","capacity":{"cpu":"x","memMb":1},"seq":1,"clockMs":1,"born":1} |
      | {"service":"s","state":"ready","capacity":{"cpu":1,"memMb":1},"seq":1,"clockMs":1} |
      | {"service":"s","state":"ready","capacity":{"cpu":1,"memMb":1},"seq":1,"clockMs":1,"born":1,"coldLeftMs":"soon"} |
      | {"service":"s","state":"draining","capacity":{"cpu":1,"memMb":1},"seq":1,"clockMs":1,"born":1,"remainingMs":null} |

  Scenario Outline: A report tells when its runner leaves and how long it is cold
    Then a report with <fields> leaves in <leaves> and is cold for <cold> ms

    Examples:
      | fields                                       | leaves | cold |
      | {"state":"ready"}                            | None   | 0    |
      | {"state":"ready","coldLeftMs":4200}          | None   | 4200 |
      | {"state":"ready","remainingMs":1500}         | None   | 0    |
      | {"state":"draining"}                         | None   | 0    |
      | {"state":"draining","remainingMs":1500}      | 1500   | 0    |
      | {"state":"draining","remainingMs":0}         | 0      | 0    |
      | {"state":"draining","remainingMs":-3,"coldLeftMs":-1} | 0 | 0 |

  Scenario: Deployments side by side have addresses of their own
    Then 40 deployments side by side share no address
    And no outgoing connection can take one of their ports

  Scenario Outline: The kind of a job follows from its fields
    Then the job <job> is of kind <kind>

    Examples:
      | job                                                        | kind      |
      | {"spec":"s","steps":[{"count":1}],"bestEffort":true}       | transient |
      | {"spec":"s","steps":[{"count":1}]}                         | kept      |
      | {"spec":"s","steps":[{"count":1}],"daemon":true}           | lasting   |
      | {"spec":"s","steps":[{"count":1}],"repeatCount":3}         | repeated  |
      | {"spec":"s","steps":[{"count":2,"gang":true}],"bestEffort":true} | coupled |

  Scenario: The operator's desired state is decoded into a configuration
    Then a desired state with unknown fields is decoded, an invalid one is refused

  Scenario: Jobs pass through separate processes of both roles
    Given a store, two runners and the processes of the platform's roles
    Then a client's job is completed
    And the processes serve their counters
    And an unknown route, a malformed job and a kept job are refused
    And a new desired state is active within 2 seconds
    And a stopped entry answers its accepted jobs before it exits
    And the processes wrote one JSON line for each decision

  Scenario: An agent is told of entries that are reported before its hello
    Given a store, two runners and the processes of the platform's roles
    When an entry is reported after an agent has connected, before its hello
    Then the agent is told of that entry
