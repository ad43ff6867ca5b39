Feature: The platform's store, its client and its stand-in

  Scenario: The client stays below its limit of calls per second
    Then no pattern of platform calls exceeds the rate limit in any time span

  Scenario: The client's open circuit lets only probes through
    Then a platform that does not answer gets only probes until it answers

  Scenario: The client's retries stay within the retry budget
    Then platform retries never exceed the initial and the credited tokens

  Scenario: Conditional writes are applied completely or not at all
    Then any transactions on the stand-in give the same result as a dictionary

  Scenario: An expired lease removes its keys and the watch reports it
    Given a platform stand-in on loopback
    When a key is written under a lease that is not renewed
    Then its watch reports the key and then its removal
    And the expired lease can't be renewed or used

  Scenario: A write whose answer is lost has taken effect
    Given a platform stand-in on loopback
    When the answer to a conditional write is lost
    Then the write is reported as may-have-run and can be read back

  Scenario: Calls fail within their time limits while the platform has a fault
    Given a platform stand-in on loopback
    Then calls to a platform that is down, slow or rate limited fail in time
    And the platform answers again after each fault

  Scenario: An invalid answer fails only its own call
    Then any JSON as an answer is either decoded or raises a platform error

  Scenario: A stored roster that can't be decoded ends no process
    Given a platform stand-in on loopback
    When the value under a roster's key is not a roster
    Then reading and writing the roster fail like calls without an answer

  Scenario: The stand-in's data survives a restart
    Given a platform stand-in that keeps its data in a file
    When it is restarted after a write under a lease
    Then the value, its revision and the lease are still there

  Scenario: An outage and its end cause no burst of calls
    Given a platform stand-in on loopback
    When 30 entries watch and register during an outage of the platform
    Then each entry has made only a few probes during the outage
    And each entry has made only a few calls after the outage

  Scenario: The client's metrics agree with what the store served
    When calls of every kind are made through two outages and a rate limit
    Then the metrics count each call that the stand-in served, by its kind
    And each call is counted under one outcome
    And each outage is logged once at its start and once at its end

  Scenario: The circuit's changes are counted and logged once
    Then loss and return alternate, and retries and rejected calls are counted

  Scenario: The alarms page names only metrics that exist
    Then every metric that the alarms page names is served
