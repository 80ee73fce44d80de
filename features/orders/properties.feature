Feature: Orders under faults
  An order that runs twice charges a customer twice.

  Scenario: an order runs at most once and callers are told the truth
    When orders are submitted under random faults
    Then orders kept their invariants and all requests were answered
