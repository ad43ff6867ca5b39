Feature: The commands of the operators' page work as documented

  Scenario: The page's commands apply a first configuration and undo a change
    Given a platform and an entry without any configuration
    When all commands of the page "docs/operators/apply.md" are run in order
    Then each command of the page succeeds
    And the history lists the page's first document, its change and the undo

  Scenario: Invalid configuration and settings are reported by path and value
    Then `check` reports invalid values of a configuration and of agents' settings
