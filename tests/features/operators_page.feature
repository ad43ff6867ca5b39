Feature: The operators' page works as it stands

  Scenario: A stranger's first apply and its undoing work from the page
    Given a platform and an entry without any configuration
    When all commands of the page "docs/operators/apply.md" are run in order
    Then each command of the page succeeds
    And the history holds the page's first document, change and undoing

  Scenario: A wrong file and wrong settings are told with path and value
    Then check names each wrong value of a configuration and its settings
