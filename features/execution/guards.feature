Feature: Removed checks
  A check whose removal fails no scenario could be lost unnoticed in a later change.

  Scenario: execution checks are each needed by a scenario
    # Guards against scenarios that pass with or without the check that they test.
    When execution each of the listed checks is removed in turn
    Then execution the named scenario of each check fails by an assertion
    And execution the documentation page lists exactly these checks
