Feature: Budget of repeats over the fleet
  All nodes together must not repeat more than the agreed share, however they come and go.

  Scenario Outline: <nodes> nodes that repeat whenever they may stay below the bound at <rate> requests a second
    Given a fleet of <nodes> nodes with a retry budget of 0.2, 54 in 10 s
    When the fleet serves <rate> requests a second for 40 s and repeats whenever it may
    Then the fleet's repeats in any 10 s are at most 0.2 of the requests and 54
    And the fleet repeated at least <least> times

    Examples: a budget that allows nothing would be useless; a quarter of 0.2 is expected
      | nodes | rate | least |
      | 1     | 10   | 20    |
      | 7     | 26   | 52    |
      | 81    | 200  | 400   |

  Scenario: processes that are killed and start again do not exceed the bound
    Given a fleet of 7 nodes with a retry budget of 0.2, 54 in 10 s
    When the fleet serves 26 requests a second for 40 s, and half of it is killed after 15 s
    Then the fleet's repeats in any 10 s are at most 0.2 of the requests and 54
