Feature: One command measures the system and the naive version

  Scenario: A short experiment with a worker that fails everything
    When an experiment of one short case is run as a trial
    Then its results hold a report of each version
    And the page's table has a row for each and can be written again

  Scenario: A case that fails is reported, not left out
    Then a case that did not run has a row that says so
