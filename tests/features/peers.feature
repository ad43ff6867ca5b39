Feature: The heartbeat cost of an entry does not grow with the number of entries

  Scenario: Only candidates for the same cell exchange frequent heartbeats
    Given 30 entries that lead 27 cells of one service
    When the entries run for 10 s without work
    Then every entry sees every other entry live
    And no entry sends more than 60 heartbeats a second

  Scenario: The successor of a leader that stops sending detects its loss within a second
    Given 30 entries that lead 27 cells of one service
    When the leader of a cell stops sending
    Then the next candidate of its cell detects its loss within 1 s

  Scenario: A request on a connection that another replaces is sent again
    Given an entry process that has forwarded a request to a leading peer
    When the peer reconnects before its previous connection has ended
    Then the request is forwarded again

  Scenario: The loss of a leader that is no longer a candidate is detected as soon
    Given 30 entries that lead 27 cells of one service
    When an entry that is not a candidate leads a cell and stops sending
    Then the next candidate of its cell detects its loss within 1 s

  Scenario: A new configuration version is sent to distant entries immediately
    Given 45 entries that lead 3 cells of one service
    When one entry receives a new configuration version
    Then the version is active at every entry within 0.5 s

