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

  Scenario Outline: Several signals during the start end it as one does
    Given the <role> role with its settings
    When it starts and is sent SIGTERM, SIGINT and SIGHUP as soon as Python runs
    Then it ends with status 0 and says that it has stopped

    Examples:
      | role  |
      | entry |
      | agent |

  # Guards against processes that no SIGINT stops, as their parent ignores it.
  Scenario Outline: A job in the background keeps SIGINT until it handles it
    Given the <role> role with its settings
    When it starts as a job in the background and is sent SIGINT
    Then it ends with status 0 and says that it has stopped

    Examples:
      | role  |
      | entry |
      | agent |

  Scenario Outline: A process that is told of changed settings starts
    Given the <role> role with its settings
    When it starts and is sent SIGHUP as soon as Python runs
    Then it starts and accepts connections at its addresses
    And it stops when it is told to, with status 0

    Examples:
      | role  |
      | entry |
      | agent |

  # Guards against processes that end as their settings are not written yet.
  Scenario Outline: Settings that are not valid yet delay the start
    Given the <role> role with a settings file that is <state>
    When it is started and has said that its settings are wrong
    Then it keeps running
    When its settings are written
    Then it starts and accepts connections at its addresses
    And it has said once why it has waited
    And it stops when it is told to, with status 0

    Examples:
      | role  | state        |
      | entry | missing      |
      | entry | empty        |
      | entry | half written |
      | entry | of no role   |
      | agent | missing      |
      | agent | empty        |
      | agent | half written |
      | agent | of no role   |
      | agent | without control address |

  # Guards against processes that end as an address is not theirs yet.
  Scenario Outline: An address that is not available yet delays the start
    Given the <role> role with its settings
    And another socket has its <address> address
    When it is started and has said that the <address> address is not available
    Then it keeps running
    And none of its other addresses accepts connections
    When the other socket is closed
    Then it starts and accepts connections at its addresses
    And it has said once why it has waited
    And it stops when it is told to, with status 0

    Examples:
      | role  | address   |
      | entry | peers     |
      | entry | callers   |
      | entry | readiness |
      | entry | control   |
      | agent | control   |

  Scenario Outline: Corrected settings end the wait for an address
    Given the <role> role with an address that its machine does not have
    When it is started and has said that the control address is not available
    And its settings are written
    Then it starts and accepts connections at its addresses

    Examples:
      | role  |
      | entry |
      | agent |

  Scenario Outline: A process that waits to start can be told to stop
    Given the <role> role with a settings file that is missing
    When it is started and has said that its settings are wrong
    And it is sent <signal>
    Then it ends with status 0 and says that it has stopped

    Examples:
      | role  | signal  |
      | entry | SIGTERM |
      | agent | SIGINT  |

  Scenario: A second process of a role takes over when the first stops
    Given the entry role with its settings
    When it is started beside one that runs, which is told to stop
    Then it starts and accepts connections at its addresses

  # Guards against log lines that are written into a connection.
  Scenario Outline: A process without standard streams logs into no socket
    Given the <role> role with its settings
    When it is started with its standard streams closed
    Then no socket has the number of a standard stream
    And it stops when it is told to, with status 0

    Examples:
      | role  |
      | entry |
      | agent |
