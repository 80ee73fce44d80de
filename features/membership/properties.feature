Feature: Membership under random faults
  If two nodes acted at different epochs, an order could run twice or a limit could be exceeded.

  Scenario: no node is confirmed at an epoch while a later epoch is active
    When membership cores run under random faults
    Then the membership invariants hold and the cores settle after the faults end
