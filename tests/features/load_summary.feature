Feature: Entries that share agents estimate the same load

  Scenario: What other entries report counts as long as it is confirmed
    Given an entry that shares busy agents with another one
    Then the other one is assumed to have as much work until it reports
    And what it has reported counts while heartbeats confirm it
    And a refusal is recorded with what was known and how old it was
    And after a silence it is assumed to have as much work again
    And a new link begins without the former report

  Scenario: A report is sent on a new link, and then only if it has changed
    Given an entry that shares busy agents with another one
    Then it reports its load with the next heartbeat, and not once more
    And a newly connected entry gets the same report at once
    And small changes and little work are not reported
    And an entry of many others sends 30 reports a second at most

  Scenario: A report that contradicts itself ends the link
    Then a report with columns of different lengths is a violation
    And a report with negative work is a violation

  Scenario: Half of all callers ask one of four entries that share agents
    Given callers that request half as much again as all servers can do
    When half of them ask one entry, with and without reports of load
    Then more callers are served on time with the reports
