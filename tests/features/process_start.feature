Feature: What a process meets at its start does not end it

  The platform starts a process that has ended again, into the same trouble.

  # Guards against processes that a signal ends before they handle it.
  Scenario Outline: A signal during the start waits until the role handles it
    Given the <role> role with its settings
    When it starts and is sent <signal> as soon as Python runs
    Then it ends with status 0 and says that it has stopped

    Examples:
      | role  | signal  |
      | entry | SIGTERM |
      | agent | SIGTERM |
      | entry | SIGINT  |
      | agent | SIGINT  |

  Scenario Outline: A process that is told of changed settings starts
    Given the <role> role with its settings
    When it starts and is sent SIGHUP as soon as Python runs
    Then it starts and accepts connections at its addresses
    And it stops when it is told to, with status 0

    Examples:
      | role  |
      | entry |
      | agent |
