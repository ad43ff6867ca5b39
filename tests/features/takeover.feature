Feature: Takeover and introduction, in every interleaving

  Scenario Outline: <case>
    Then no interleaving of <case> starts a task twice

    Examples:
      | case                                |
      | a takeover while a lease runs       |
      | a takeover while leases are renewed |
      | a takeover while an agent restarts  |
      | a takeover while an agent joins     |
