Feature: Membership under faults
  Two nodes that act at different epochs could run an order twice or exceed a limit.

  Scenario: no node is confirmed at an epoch while a later one is active
    When membership cores run under random faults
    Then membership kept its invariants and settled after healing
