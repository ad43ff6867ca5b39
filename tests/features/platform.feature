Feature: The platform's store, its client and its stand-in

  Scenario: The client keeps below its cap on calls
    Then no pattern of platform calls exceeds the cap in any span of time

  Scenario: The client's circuit lets only probes through
    Then an unanswering platform gets probes alone until one is answered

  Scenario: The client's retries stay within their budget
    Then platform retries never exceed what successes have earned

  Scenario: Conditional writes change the store or leave it whole
    Then any transactions on the stand-in agree with a plain dictionary

  Scenario: A lease that lapses takes its keys along and the watch tells
    Given a platform stand-in on loopback
    When a key is held under a lease that is not renewed
    Then its watch reports the key and then its end
    And the lapsed lease can't be renewed or used

  Scenario: A write whose answer is lost has taken effect
    Given a platform stand-in on loopback
    When the answer to a conditional write is lost
    Then the write is reported as may-have-run and can be read back

  Scenario: Faults end calls within their time limits
    Given a platform stand-in on loopback
    Then calls to a platform that is down, slow or rate limited fail in time
    And the platform answers again after each fault

  Scenario: An answer that makes no sense is an error of its call alone
    Then any JSON in place of an answer is used or raises a platform error

  Scenario: A stored roster that can't be read ends no process
    Given a platform stand-in on loopback
    When a roster's key holds something else
    Then reading and writing the roster fail as a store without an answer

  Scenario: The stand-in's data outlives a restart
    Given a platform stand-in that keeps its data in a file
    When it is restarted after a write under a lease
    Then the value, its revision and the lease are still there

  Scenario: An outage and its end bring no herd of calls
    Given a platform stand-in on loopback
    When 30 entries follow and register through an outage of the platform
    Then each of them has made a few probes during the outage
    And each of them has made a few calls after its end

  Scenario: The client's metrics agree with what the store served
    When calls of every kind are made through two outages and a rate limit
    Then the metrics have each call that the stand-in served, by its kind
    And each call stands under one outcome
    And each outage is one line of the log at its start and one at its end

  Scenario: The circuit's changes are counted and logged once
    Then loss and return alternate, and every retry and held call is counted

  Scenario: The alarms page names metrics that there are
    Then every metric that the alarms page names is served
