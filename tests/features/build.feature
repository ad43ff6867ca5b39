Feature: The build leaves libraries that the roles can run with

  # Guards against processes that end at once as their libraries don't load.
  Scenario Outline: Libraries that were left behind are not taken for built
    Given a checkout whose folder for libraries <state>
    When the build command of the deploy file runs
    Then it succeeds and has installed the libraries
    When the build command of the deploy file runs again
    Then it succeeds and has installed nothing

    Examples:
      | state                                 |
      | is missing                            |
      | is newer and from another machine     |
      | is newer and from another Python      |
      | is newer and from other requirements  |
      | is newer and half finished            |
      | is from this machine but lacks a file |
      | lacks a library imported on demand    |
      | is a link to another folder           |
      | is a link to nothing                  |
      | is a file                             |

  Scenario: Two builds at a time build one after the other
    Given a checkout whose folder for libraries is missing
    When the build command of the deploy file runs twice at a time
    Then both succeed, and the libraries were installed once

  Scenario: A build that is cut short is begun anew
    Given a checkout whose folder for libraries is missing
    When the build command of the deploy file runs and pip fails midway
    Then it fails
    When the build command of the deploy file runs
    Then it succeeds and has installed the libraries

  Scenario: Libraries that do not load fail the build
    Given a checkout whose folder for libraries is missing
    When the build command of the deploy file runs and a library is broken
    Then it fails
    When the build command of the deploy file runs
    Then it succeeds and has installed the libraries
