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
