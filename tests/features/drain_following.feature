Feature: An entry follows the operators' drains in the store

  Background:
    Given a store with a configuration and an entry that follows its operators

  Scenario: One listing and one watch cover configuration and drains
    When "zone-a" is drained, and a configuration is written
    Then the entry has made the calls "list op/, watch op/"
    And it has learnt "" and then "a"
    And it has learnt the drains of a listing before its configuration

  Scenario: Without drains in the settings the configuration is read as before
    Given an entry that follows only the configuration
    When "zone-a" is drained, and a configuration is written
    Then the entry has made the calls "get op/config, watch op/config"
    And it has learnt nothing of drains

  Scenario Outline: The first configuration is known soon after the store is back
    Given an entry that follows only the configuration
    When the store is down for <seconds> seconds from its start
    Then the entry has learnt its configuration within 0.12 s of the end
    And it has made at most 20 calls in each of these seconds

    Examples:
      | seconds |
      | 5.0     |
      | 5.3     |
      | 5.6     |

  Scenario: A store that is lost later is asked less often
    Given an entry that follows only the configuration
    When the store is down for 5 seconds, and "zone-a" is drained meanwhile
    Then it has made at most 3 calls in each of the last 3 of these seconds

  Scenario: Two failure domains that one write drains are passed on as one state
    When "zone-a, zone-b" are drained by one write
    Then it has learnt "" and then "a b"

  Scenario: All failure domains are drained and taken back one by one
    When "zone-a, zone-b" are drained and taken back in this order
    Then it has learnt "" and then "a, a b, b, -"

  Scenario: A drain that comes and goes within a second leaves none
    When "zone-a" is drained for 0.5 seconds
    Then the last that it has learnt is ""

  Scenario Outline: A drain that a fault of the store hides is learnt by a listing
    When the store is <fault> for 5 seconds, and "zone-a" is drained meanwhile
    Then it has learnt "a" within <limit_s> seconds of the end of the fault

    Examples:
      | fault     | limit_s |
      | down      | 1.5     |
      | silent    | 3.5     |
      | forgotten | 1.5     |
      | slow      | 0       |

  Scenario: The end of a drain that a fault of the store hides is learnt
    Given "zone-a" is drained
    When the store is down for 5 seconds, and "zone-a" is taken back meanwhile
    Then the last that it has learnt is ""

  Scenario Outline: The key <key> drains nothing and is reported once
    When the key "<key>" is written three times and listed again
    Then the last that it has learnt is ""
    And one line reports an ignored drain

    Examples:
      | key                 |
      | op/evacuate/        |
      | op/evacuate/a/b     |
      | op/evacuate/ a      |
      | op/evacuate/\x07    |

  Scenario: Other keys of operators are no drains
    When the key "op/wave/1" is written three times and listed again
    Then the last that it has learnt is ""
    And no line reports an ignored drain

  Scenario: Processes of both roles apply the drains of a store
    Given a store, two runners and processes that follow drains
    When "zone-1" is drained in the store
    Then tasks of a job at each entry begin only at "agent-2"
    When "zone-2" is drained in the store
    Then a job at each entry is refused with a time after which to retry
    And both entries are ready and list "zone-1, zone-2" as drained
    When the store is busy and "entry-2" is killed and started again
    Then a job at each entry is refused with a time after which to retry
    And both entries are ready and list "zone-1, zone-2" as drained
    When the store is back and both failure domains are taken back
    Then tasks of a job at each entry begin only at "agent-1, agent-2"

  Scenario: The client names the revision of each change, removals too
    Then a watch of the store stand-in reports the revisions of a write and a removal
    And a listing of many pages names the revision at which its reading began
