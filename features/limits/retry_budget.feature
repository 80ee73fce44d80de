Feature: Retry budget of the fleet
  The retries of all nodes together must stay within the bound, also when nodes restart. Unbounded
  retries would multiply the load on an overloaded service.

  Scenario Outline: <nodes> nodes that use their whole budget at <rate> requests/s stay within the bound
    Given a fleet of <nodes> nodes with a retry budget of 0.2, 54 in 10 s
    When the fleet serves <rate> requests a second for 40 s and uses its whole retry budget
    Then the retries of the fleet in any 10 s are at most 0.2 of the requests and 54
    And the fleet made at least <least> retries

    Examples: the fleet must be able to use at least a quarter of the ratio of 0.2
      | nodes | rate | least |
      | 1     | 10   | 20    |
      | 7     | 26   | 52    |
      | 81    | 200  | 400   |

  Scenario: the bound holds when nodes are killed and restart with a new budget
    Given a fleet of 7 nodes with a retry budget of 0.2, 54 in 10 s
    When the fleet serves 26 requests a second for 40 s, and half of it is killed after 15 s
    Then the retries of the fleet in any 10 s are at most 0.2 of the requests and 54
