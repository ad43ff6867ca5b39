Feature: HTTP that Hypothesis makes up ends no process

  Scenario: Requests of any method, header and framing end no server
    When connections send requests that Hypothesis makes up
    Then the server has answered a valid request after each

  Scenario: Responses of any status, header and framing end no client
    When a server sends responses that Hypothesis makes up
    Then each exchange has ended with a response or an exchange error
