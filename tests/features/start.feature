Feature: A role imports only what it needs before it serves

  While it starts, a process serves nothing; on a small machine the imports
  alone take seconds.

  Scenario Outline: What belongs to others is not imported
    When a fresh interpreter imports the modules of the <role> role
    Then no module of these is imported: <modules>

    Examples:
      | role  | modules                                                           |
      | entry | adapter.agent_role, egretcart.direct.agent, egretcart.direct.backend.backend_report_store |
      | agent | adapter.entry_role, egretcart.direct.entry, egretcart.direct.policy.admission |
      | entry | egretcart.connection.entry_messages, egretcart.connection.leader_messages, egretcart.process.entry, egretcart.process.agent, egretcart.process.cell |
      | agent | egretcart.connection.entry_messages, egretcart.connection.leader_messages, egretcart.process.entry, egretcart.process.agent, egretcart.process.cell |
      | entry | egretcart.request.identity, uuid6, opentelemetry, prometheus_client, egretcart.process.metrics |
      | agent | egretcart.request.identity, uuid6, opentelemetry, prometheus_client, egretcart.process.metrics |

  Scenario Outline: No IDL file is parsed
    When a fresh interpreter imports the modules of the <role> role
    Then it has parsed no IDL file

    Examples:
      | role  |
      | entry |
      | agent |

  Scenario: The garbage collector starts with the role
    When the command line of the platform starts a stand-in for a role
    Then the garbage collector was disabled for its imports and runs with it

  Scenario: A role starts no other process while it is imported
    When the command line of the platform starts a stand-in for a role
    Then no other process was started

  # Guards against roles that end on SIGHUP while they start.
  Scenario: A signal that the settings have changed ends no role that starts
    When the command line of the platform starts a stand-in for a role
    Then a signal that the settings have changed did not end it

  Scenario: A change of the settings while a role starts is not missed
    Given settings that change after a role was started with them
    When the settings are checked twice
    Then the change is applied once

  Scenario: What is refused before a configuration is known leaves a line
    Given an entry that has started and knows no configuration
    When a caller submits job "00112233445566aa", asks for it and cancels it
    Then each request gets status 503 and is to be repeated after 1 s
    And the log has one line, that job "00112233445566aa" was refused for it

  # Guards against roles that end where only the build has installed libraries.
  Scenario Outline: A role finds the libraries of the build by itself
    Given a checkout with the libraries of the build
    When the <role> role starts with no other libraries and no PYTHONPATH
    Then it has imported its modules

    Examples:
      | role  |
      | entry |
      | agent |

  Scenario Outline: A role without libraries says how they are built
    Given a checkout with <libraries>
    When the <role> role starts with no other libraries and no PYTHONPATH
    Then it ends with status 1 and one line that names "<missing>" and the build

    Examples:
      | role  | libraries                                | missing       |
      | entry | no libraries                             | trio          |
      | agent | no libraries                             | trio          |
      | entry | a library that is from another machine   | msgspec._core |
      | agent | a library that is from another machine   | msgspec._core |

  Scenario: A role without the name of its settings file says what is missing
    Given a checkout with the libraries of the build
    When the entry role starts without EGRETCART_CONFIG
    Then it ends with status 1 and one line that names "EGRETCART_CONFIG"
