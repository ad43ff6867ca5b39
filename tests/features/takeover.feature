Feature: No interleaving of a takeover or a join starts a task twice

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

  Scenario Outline: The search finds the double start that a guard prevents: <guard>
    Then the search of <case> finds a double start without the <guard>

    Examples:
      | case                                    | guard                     |
      | a takeover while a lease runs           | lease                     |
      | a takeover while a lease runs           | wait                      |
      | a takeover while a lease runs           | uncertain before time     |
      | a takeover while a lease runs           | term                      |
      | a takeover while an agent restarts      | report of begun jobs      |
      | a takeover while an agent restarts      | restart check             |
      | a takeover while an agent joins         | recorded roster           |
      | a takeover while an agent joins         | roster in the fence reply |
      | a takeover while a promise is forgotten | confirmations             |
      | a takeover with a newer roster          | additional confirmation   |
      | a takeover of two agents                | majority                  |
