Feature: Removed checks
  A check whose removal no test notices may be lost in any later change.

  Scenario: execution checks are each needed by a scenario
    # Guards against scenarios that pass with or without the check they are there for.
    When execution each of the listed checks is removed in turn
    Then execution the named scenario of each fails by an assertion
    And execution the page on checks lists exactly these
