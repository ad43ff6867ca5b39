Feature: Tasks run at the backend servers of their route's service

  # Guards against tasks that start at a server of another service.
  Scenario: A server of another service is added
    Given a deployment of 3 entries and 5 agents, one of another service
    When 20 jobs a second come for 10 s by the route of the first service
    Then all jobs are completed
    And no promise was broken

  Scenario: Servers come back as those of another service
    Given a deployment of 3 entries and 8 agents of two services in turn
    When 40 jobs a second come for 10 s by the routes of both
    And servers crash meanwhile and come back for another service
    Then at least 200 jobs are completed
    And no promise was broken

  Scenario: What one service needs keeps nothing of another one waiting
    Given a deployment of 3 entries and 8 agents of two services in turn
    When the first service gets twice the work that it can do for 6 s
    Then all jobs of the second service are completed on time
    And no promise was broken

  Scenario: A desired state sends a route to another service
    Given a deployment of 3 entries and 8 agents of two services in turn
    When its route is sent to the second service while jobs wait
    Then what waits and what comes starts at the second service
    And no promise was broken

  Scenario: What an entry decides for a route, it decides for its service
    Then a job without a server of its service is refused at once
    And a full server of another service is not counted
    And work that waits for another service is not counted
    And agents that serve others share their entries only with their service
    And a route's drained agents are those of its service
    And agents of each service are told of their waiting tasks
    And an agent whose service has changed is told anew
    And agents are recruited for a service
    And a route is confined among those of its service
    And a run is moved if its service has room for those that are moved

  # Guards against starts by a desired state that is no longer in force.
  Scenario: A claim that waits uses the desired state in force
    Then a claimed job starts at the service to which its route was sent
    And a claimed job is not accepted if its route needs advice by now

  # Guards against starts that an entry asks for before it knows the server.
  Scenario: An agent refuses tasks that are not for its server
    Then tasks of another service or with another label are refused
    And tasks of an earlier release, which names neither, are run
    And queued tasks are given back if the server's service changes
    And no capacity is offered to tasks of another service

  # Guards against a report of another writer that ends a server's runs, which
  # then run twice.
  Scenario: Reports of other writers reach agents
    Given servers whose agents get reports of other writers
    When jobs come for 8 s beside such reports
    Then all jobs are completed
    And no run was lost but those of the server that crashed
    And each server is used until the end
    And no promise was broken

  Scenario: Which report is the server's is told by the server
    Then a report of another writer that comes first keeps no server out
    And a report set aside is used once the server has ended
    And one that the server outlives is dropped
    And one that was never the server is not blamed for a crash
