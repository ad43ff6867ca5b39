Feature: A process says how it has started, and how it ends

  Nobody can tell afterwards why a process has ended if its log does not.

  # Guards against ends that leave no line of their own.
  Scenario Outline: An error that ends a process is the last line of its log
    Given a process that logs its decisions
    When it has written <lines> lines at once and then fails
    Then the last line names the error and the place that has raised it
    And no line is missing

    Examples:
      | lines |
      | 0     |
      | 20    |

  Scenario: A process says what it runs on, and that it was told to stop
    Given a deployment of the platform's roles
    When agent "agent-1" and entry "entry-2" are told to stop
    Then each has ended with status 0
    And their first lines name release, Python, machine and process
    And their last lines say that they have stopped

  # Guards against processes that end, or hang, as descriptors lack.
  Scenario Outline: Connections beyond the descriptors end no process
    Given the <role> role with its settings
    And it has started with few descriptors and an output that nobody reads
    When more connections than that are open for a while at its <address> address
    Then it accepts connections again, and has said so once
    And it stops when it is told to, with status 0

    Examples:
      | role  | address   |
      | entry | peers     |
      | entry | callers   |
      | entry | readiness |
      | agent | control   |

  # Guards against processes that a method without a body ends.
  Scenario Outline: A probe of any method ends no process
    Given the <role> role with its settings
    And it has started
    When it is sent requests of each method at its <address> address
    Then each is answered, and it accepts connections
    And it stops when it is told to, with status 0

    Examples:
      | role  | address   |
      | entry | callers   |
      | entry | readiness |
      | entry | control   |
      | agent | control   |

  # Guards against signals that end a process which is about to end.
  Scenario Outline: Signals during a stop do not change how it ends
    Given the <role> role with its settings
    And it has started
    When it is told to stop, and gets <signal> again and again
    Then it ends with status 0 and says that it has stopped

    Examples:
      | role  | signal  |
      | entry | SIGHUP  |
      | agent | SIGHUP  |
      | entry | SIGTERM |
      | agent | SIGTERM |

  # Guards against responses without a body after those to HEAD.
  Scenario: Nonsense after a HEAD request is refused with a reason
    Given the entry role with its settings
    And it has started
    When a HEAD request and then nonsense are sent on one connection
    Then the nonsense is refused with status 400 and a body
    And it stops when it is told to, with status 0
