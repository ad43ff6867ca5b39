Feature: Values from outside are bounded and end no process

  # Guards against processes that end as a value does not fit into a message.
  Scenario: Every message can be sent, whatever its integers
    Then a message with integers of any size is sent with the nearest ones

  # Guards against entries that end when they read a job with a wrong estimate.
  Scenario Outline: A job with a far-off hint is run
    Given a simulated deployment whose messages are encoded
    When a caller submits a job with <hints>
    Then the job is completed

    Examples:
      | hints                          |
      | {"estMs":1800000000}           |
      | {"estMs":1e300}                |
      | {"estMs":0}                    |
      | {"antiAffinity":2147483648}    |
      | {"antiAffinity":1000000000000000000000000} |

  Scenario Outline: A job with an impossible value is refused as invalid
    Given a simulated deployment whose messages are encoded
    When a caller submits a job with <values>
    Then the job is refused with a reason that names <field>

    Examples:
      | values                                | field        |
      | {"estMs":-1}                          | estMs        |
      | {"estMs":1e999}                       | steps        |
      | {"cpu":1000000000000}                 | cpu          |
      | {"memMb":-1}                          | memMb        |
      | {"gpu":1000000000000000000000000}     | gpu          |
      | {"count":20001}                       | count        |
      | {"antiAffinity":-1}                   | antiAffinity |
      | {"after":[-1]}                        | after        |

  Scenario: The tasks of all steps of a job are bounded together
    Given a simulated deployment whose messages are encoded
    When a caller submits a job of 300 steps with 100 tasks each
    Then the job is refused with a reason that names 30000 tasks

  Scenario: Jobs with any values end no process
    Given a simulated deployment whose messages are encoded
    Then no job that Hypothesis makes up ends a process

  # Guards against processes that end on a document nested 5,000 deep.
  Scenario Outline: A document nested too deeply is refused
    Then a document nested too deeply is refused as <kind>

    Examples:
      | kind                     |
      | a job                    |
      | a report                 |
      | a stored report          |
      | a desired state          |
      | settings                 |
      | an operator's change     |
      | a registered address     |

  # Guards against an entry that ends on an operator's change that is cut off.
  Scenario: A document with a wrong value that is no JSON later on is refused
    Then each of these documents is refused with a finding
      | document                 |
      | {"base":"x", !           |
      | {"change_id":7           |

  # Guards against entries that end on a header of thousands of digits.
  Scenario Outline: The time that a caller waits is limited
    Then a caller that waits for <digits> digits of <digit> ms waits <wait_s> s

    Examples:
      | digits | digit | wait_s |
      | 4      | 1     | 1.111  |
      | 9      | 9     | 604800 |
      | 400    | 9     | 604800 |
      | 5000   | 9     | 604800 |
      | 5000   | 0     | 0      |
      | 0      | 0     | inf    |
      | 3      | x     | inf    |

  # Guards against agents that end on a report beyond the range of a message.
  Scenario Outline: A report with an impossible value is refused
    Then a report of "<instance>" with <fields> is refused

    Examples:
      | instance | fields                                       |
      | i-1      | {"capacity":{"cpu":1000000000000,"memMb":1}} |
      | i-1      | {"capacity":{"cpu":-1,"memMb":1}}            |
      | i-1      | {"born":10000000000000000000000000}          |
      | i-1      | {"born":-1}                                  |
      | i-1      | {"clockMs":9007199254740992}                 |
      | i-1      | {"seq":1e300}                                |
      | i-1      | {"service":""}                               |
      | i-1      | {"labels":"x"}                               |
      | i 1      | {}                                           |
      | i-é      | {}                                           |
      |          | {}                                           |

  Scenario Outline: The times in a report are limited
    Then a report with <fields> leaves in <leaves> and is cold for <cold> ms

    Examples:
      | fields                                                | leaves    | cold      |
      | {"state":"ready","coldLeftMs":10000000000000000000000000} | None  | 604800000 |
      | {"state":"draining","remainingMs":9000000000}         | 604800000 | 0         |

  # Guards against agents that end on a listing whose elements are of other
  # types, or that no request can repeat.
  Scenario Outline: A listing that can't be right is no answer
    Given a runner stand-in
    Then a poll that is answered <listing> has no usable answer

    Examples:
      | listing                                                     |
      | {"clockMs":1,"running":[["t.0.0.0","x","",1]],"ended":[]}   |
      | {"clockMs":1,"running":[["t.0.0.0",1,"",null]],"ended":[]}  |
      | {"clockMs":1,"running":[["t",1,"",1]],"ended":[]}           |
      | {"clockMs":1,"running":[],"ended":[["1","t.0.0.0",1,"done",""]]} |
      | {"clockMs":10000000000000000000000000,"running":[],"ended":[]} |

  # Guards against an agent that ends as its token doubles without end.
  Scenario: A server that refuses every fencing token ends no agent
    Given a simulated deployment whose messages are encoded
    When a backend server refuses 200 polls for their fencing token
    Then the agent's next requests can be sent

  # Guards against entries that end on a desired state with a far-off number.
  Scenario Outline: A far-off number of a desired state counts as its bound
    Given a simulated deployment whose messages are encoded
    When operators apply a desired state with <fields>
    And a caller submits a job with {"cpu":1600}
    Then the job is completed

    Examples:
      | fields                                        |
      | {"priority":10000000000000000000000000}       |
      | {"priority":-1}                               |
      | {"stretch":1e300}                             |
      | {"sloMs":1e300}                               |
      | {"sloMs":-5}                                  |
      | {"attempts":-1}                               |
      | {"attempts":10000000000000000000000000}       |

  Scenario Outline: A desired state that can't be in force is refused
    Then no desired state with <fields> is accepted

    Examples:
      | fields                                  |
      | {"version":10000000000000000000000000}  |
      | {"version":-1}                          |
      | {"routes":[{"name":7}]}                 |

  Scenario: A configuration of another entry is bounded as one of the store
    Then another entry's configuration with a priority of 2147483648 is refused

  # Guards against an entry that ends as it tells an unlimited lateness.
  Scenario: An entry that has left the rotation gets objectives without slack
    Given a simulated deployment whose messages are encoded
    When an entry has left the rotation and objectives lose their slack
    Then all entries know each other's lateness after 1 s

  # Guards against processes that act on what no process of ours sends.
  Scenario Outline: A message out of bounds ends its link, with a line
    Given a link to an entry
    When its peer sends <message>
    Then the link ends and the entry logs <cause>

    Examples:
      | message                                     | cause         |
      | EntryPeers(entries=(PeerAddress(host="1.2.3.4", port=70000),)) | port |
      | EntryPeers(entries=(PeerAddress(host="a..b", port=7),))        | host |
      | EntryPeers(entries=(PeerAddress(host="x" * 64, port=7),))      | host |
      | TasksWaiting(count=2000000000)              | count         |
      | RunTasks(job_id="j", run=1, indexes=(0,), cpu_milli=-1) | cpu_milli |
      | RunTasks(job_id="j", run=1, indexes=tuple(range(20001))) | indexes |
      | AgentStatus(pace_percent=-1)                | pace_percent  |
      | Beat(interval_ms=-1)                        | interval_ms   |

  # Guards against numbers that no longer fit into a message after long use.
  Scenario: Numbers of offers and claims begin anew
    Then the number after 2147483647 offers is 1
    And the number after 1000000 claims is 1

  Scenario Outline: A registered address that can't be reached is left out
    Then a registered address with <fields> is refused

    Examples:
      | fields                         |
      | {"host":"a..b","port":7}       |
      | {"host":"a b","port":7}        |
      | {"host":"1.2.3.4","port":70000} |
      | {"host":"1.2.3.4","port":-1}   |

  # Guards against processes that end on a change of their settings.
  Scenario Outline: Settings that can't be right are refused
    Then settings with <fields> are refused

    Examples:
      | fields                              |
      | {"seeds":["10.1.0.13"]}             |
      | {"seeds":["10.1.0.13:99999"]}       |
      | {"seeds":["a..b:7"]}                |
      | {"store":"nowhere"}                 |
      | {"callers":"127.0.0.1:x"}           |
      | {"max_lease_ms":0}                  |
      | {"max_lease_ms":10000000000000000000000000} |
      | {"stop_grace_s":-1}                 |
      | {"far_factor":1e300}                |

  # Guards against processes of the platform's roles that end on such a value.
  Scenario: Values out of bounds end no process of the platform's roles
    Given a store, two runners and the processes of the platform's roles
    When callers, servers, operators and peers send values out of bounds
    Then each process is the one that was started, and jobs are completed
