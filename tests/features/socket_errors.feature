Feature: Errors of sockets end no process

  Scenario: A lack of descriptors at the first connection ends no process
    Given an HTTP server without connections
    When a caller connects while one descriptor is left
    Then each caller is answered

  Scenario: A lack of descriptors at a planned stop breaks off no request
    Given an HTTP server with a request in progress
    When it stops while two callers connect and no descriptor is left
    Then each caller is answered

  Scenario: A security module that forbids a connection ends no process
    Given an HTTP server whose next connections are forbidden
    When a caller connects
    Then each caller is answered

  Scenario: A lack of descriptors for links does not fill standard error
    Given a server of links
    When links are opened while no descriptor is left
    Then the links are served once there are descriptors
    And both changes are reported, and nothing is written to standard error

  Scenario: A link whose socket options are refused is served
    Given a link whose socket refuses all options
    Then it delivers its messages, and the refusals are counted

  Scenario: A lack of threads for looking up a host name ends no process
    Given a host name, and a system that starts no more threads
    When it is dialled and an exchange with it is tried
    Then it is unreachable and nothing was sent

  Scenario: A lack of watched descriptors ends no process
    Given an HTTP server without connections
    When callers connect while the system watches no more descriptors
    Then one caller is refused as not run and the next one is answered

  Scenario: A client that may not reset a connection ends no process
    Given a client whose sockets refuse all options
    When an exchange breaks
    Then it ends with an exchange error, and the refusal is counted
