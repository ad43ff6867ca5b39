Feature: What each mechanism is worth can be measured again

  Scenario: Each mechanism can be switched off in the tree as it is
    When the ablation command checks its patches
    Then it succeeds

  Scenario: The differences from the control are shown, and none below its spread
    When the command plays "offers" and "claims" with a figure of 0.9 for each seed
    Then it succeeds
    And its table has "control" and "offers" with "beyond the spread: none"
    And the figures are in the file of the results

  Scenario: A mechanism that is not known
    When the command plays "ofers"
    Then it fails with "unknown: ofers; known: offers, order-by-priority"

  Scenario: A play without a figure
    When the command plays "offers" without a figure for seed 2
    Then it fails with "seed 2: no figure in"
    And its table has "control" and "offers" with "0.900"

  Scenario: A play that fails
    When the command plays "offers" and seed 2 ends with status 3
    Then it fails with "seed 2: status 3, see"
    And its table has "control" and "offers" with "0.900"

  Scenario: An expression that is none
    When the command looks for the figure "("
    Then it fails with "\"(\": "
