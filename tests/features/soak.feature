Feature: Real processes keep their promises under overlapping faults

  Processes are killed, paused and stopped. Backend servers crash, slow down
  and carry out requests without a reply. The store fails. Proxies delay and
  reset connections or stop forwarding on them. New desired states are
  written. Meanwhile, the checks compare what callers and backend servers
  receive with the promises. `tests/soak.py` runs more seeds by hand.

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
