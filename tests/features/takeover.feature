Feature: Takeover and introduction, in every interleaving

  Scenario Outline: <case>
    Then no interleaving of <case> starts a task twice

    Examples:
      | case                                    |
      | a takeover while a lease runs           |
      | a takeover while leases are renewed     |
      | a takeover while an agent restarts      |
      | a takeover while an agent joins         |
      | a takeover while a promise is forgotten |
      | a takeover with a newer roster          |
      | a takeover of two agents                |

  Scenario Outline: The search sees what <guard> prevents
    Then the search of <case> finds a double start without the <guard>

    Examples:
      | case                                    | guard        |
      | a takeover while a lease runs           | lease        |
      | a takeover while a lease runs           | wait         |
      | a takeover while a lease runs           | barrier      |
      | a takeover while a lease runs           | term         |
      | a takeover while an agent restarts      | summary      |
      | a takeover while an agent restarts      | restarted    |
      | a takeover while an agent joins         | recorded     |
      | a takeover while an agent joins         | fence roster |
      | a takeover while a promise is forgotten | witnesses    |
      | a takeover with a newer roster          | witness more |
      | a takeover of two agents                | majority     |
