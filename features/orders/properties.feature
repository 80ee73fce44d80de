Feature: Orders under random faults
  Guards against an order that runs twice, for example a payment that charges a customer twice.

  Scenario: an order runs at most once and its answers match what ran
    When orders are submitted under random faults
    Then the orders keep their invariants and all requests are answered
