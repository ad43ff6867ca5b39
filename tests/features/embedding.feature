Feature: The library is embedded in another program

  Scenario: The embedding example runs a job without any I/O of the library
    When the embedding example is run
    Then it prints the whole answer in task order
