Feature: Real processes keep their promises under overlapping faults

  Processes are killed, paused and stopped. Backend servers crash, slow down
  and carry out requests without a reply. The store fails. Proxies delay and
  reset connections or stop forwarding on them. New desired states are
  written. Processes get signals while they start, and start while an address
  is held, their settings are not there yet or a former process still runs.
  Meanwhile, the checks compare what callers and backend servers receive with
  the promises, and every end of a process with what it was asked.
  `tests/soak.py` runs more seeds by hand.

  Scenario Outline: Faults of one seed break no promise
    When a deployment of processes runs 5 seconds of faults with seed <seed>
    Then none of its promises was broken

    Examples: seeds that once failed, with their cause
      | seed | cause                                               |
      | 7    | a check that took a dropped route for an old version |

    Examples: others
      | seed | cause |
      | 1    | none  |

  Scenario Outline: A read request that a stop breaks off is a violation
    When an entry that stops ends a connection <delay> ms after it was opened and <lines> of the job
    Then that is <verdict>

    Examples:
      | delay | lines         | verdict     |
      | 100   | logs nothing  | a violation |
      | 190   | logs nothing  | a violation |
      | 450   | logs nothing  | none        |
      | 450   | logs a line   | a violation |

  Scenario Outline: An end of a process that nobody asked for is a violation
    When a process that was sent <signals> ends with status <status>
    Then that is <verdict>

    Examples:
      | signals             | status | verdict     |
      | SIGKILL             | -9     | none        |
      | SIGTERM             | 0      | none        |
      | SIGHUP and SIGTERM  | 0      | none        |
      | SIGTERM and SIGKILL | -9     | none        |
      | no signal           | 0      | a violation |
      | no signal           | 1      | a violation |
      | no signal           | -9     | a violation |
      | SIGHUP              | -1     | a violation |
      | SIGTERM             | -15    | a violation |
      | SIGTERM             | 1      | a violation |
      | SIGKILL             | 1      | a violation |

  Scenario: An end that nobody asked for is reported with its cause
    When a process that was sent SIGHUP ends with status 1
    Then the violation names the process, its trouble and its last line

  Scenario Outline: A process that does not stop in time is a violation
    When a process runs <seconds> s longer than its bound after SIGTERM, and a pause ended <before> s before
    Then that is <verdict>

    Examples:
      | seconds | before | verdict     |
      | -1      | 60     | none        |
      | 1       | 60     | a violation |
      | 1       | 2      | none        |

  Scenario: A process that serves nobody after its trouble is a violation
    When a process answers nobody 1 s longer than its bound
    Then the violation names the process, its trouble and its last line

  Scenario: No kind of trouble at a start is left out
    When the troubles of seed 3 are drawn for 30 seconds
    Then each kind comes equally often, but for one
