Feature: The adapter translates the platform's protocol

  Stand-ins of the store and of a runner speak the published protocol on
  loopback addresses.

  Scenario: The store's client reads, writes, leases and watches
    Given a store stand-in
    Then a value is written, read, and swapped only at its revision
    And a range of three pages is listed whole
    And a key with a lease goes with it
    And a watch hands over each change in order

  Scenario: A store that misbehaves is an error, never an empty answer
    Given a store stand-in
    Then "busy", "silent" and "lost" answers raise an error within 2 seconds
    And a watch whose history is gone raises an error
    And a value that is not base64 raises an error

  Scenario: A runner's answers become the product's
    Given a runner stand-in
    Then a start is answered as started, stale run, too late and stale token
    And a hold lists what runs and what has ended, once until acknowledged
    And another lifetime, a lower token and no listener are told apart

  Scenario Outline: A report of another writer names no runner
    Then the report <report> is refused with a reason

    Examples:
      | report                                                      |
      | {}                                                          |
      | not json                                                    |
      | {"service":7}                                               |
      | {"service":"s","state":"asleep","capacity":{"cpu":1,"memMb":1},"seq":1,"clockMs":1,"born":1} |
      | {"service":"s","state":"ready","capacity":{"cpu":"x","memMb":1},"seq":1,"clockMs":1,"born":1} |
      | {"service":"s","state":"ready","capacity":{"cpu":1,"memMb":1},"seq":1,"clockMs":1} |

  Scenario Outline: A job of a kind that is not served is refused as not run
    Then the job <job> is of kind <kind>

    Examples:
      | job                                                        | kind      |
      | {"spec":"s","steps":[{"count":1}],"bestEffort":true}       | transient |
      | {"spec":"s","steps":[{"count":1}]}                         | kept      |
      | {"spec":"s","steps":[{"count":1}],"daemon":true}           | lasting   |
      | {"spec":"s","steps":[{"count":1}],"repeatCount":3}         | repeated  |
      | {"spec":"s","steps":[{"count":2,"gang":true}],"bestEffort":true} | coupled |

  Scenario: The operator's desired state becomes a configuration
    Then a desired state with unknown fields is read, and a broken one is not

  Scenario: The whole path as processes
    Given a store, two runners and the processes of the platform's roles
    Then a client's job is completed
    And the processes serve what they have counted
    And an unknown route, a malformed job and a kept job are refused
    And a new desired state is in force within 2 seconds
    And a stopped entry answers what it has taken in before it ends
    And the processes wrote one JSON line for each decision
