Feature: Allocation of limits by demand
  Nodes with waiting work must get the permits that other nodes do not use, and no node may starve.

  Scenario Outline: one busy node among <nodes> gets <permits> of <limit> within a second
    Given a limit of <limit> <kind> shared by <nodes> nodes under policy "leased"
    When node n2 receives <requests> requests of <amount> permits and 1 s pass
    Then node n2 may use at least <permits> permits
    And the limit was never exceeded and at most <limit> permits are allocated

    Examples:
      | limit | kind           | nodes | requests | amount | permits |
      | 100   | concurrency    | 7     | 200      | 1      | 94      |
      | 20    | concurrency    | 7     | 40       | 1      | 20      |
      | 3     | concurrency    | 7     | 40       | 1      | 3       |
      | 1     | concurrency    | 7     | 40       | 1      | 1       |
      | 50    | requests_per_s | 5     | 400      | 1      | 46      |
      | 10000 | tokens_per_s   | 7     | 60       | 1500   | 9994    |

  Scenario Outline: capacity moves from one busy node to the next within a second
    Given a limit of <limit> concurrency shared by 7 nodes under policy "leased"
    When node n1 receives <requests> requests of 1 permits and 1 s pass
    And node n5 receives <requests> requests of 1 permits and 1 s pass
    Then the limit was never exceeded and at most <limit> permits are allocated

    Examples:
      | limit | requests |
      | 100   | 20       |
      | 8     | 8        |

  Scenario Outline: 7 busy nodes take turns under a limit of <limit> <kind>
    Given a limit of <limit> <kind> shared by 7 nodes under policy "leased"
    When all nodes receive 500 requests of <amount> permits and <seconds> s pass
    Then every node dispatched at least <served> requests
    And the limit was never exceeded and at most <limit> permits are allocated

    Examples:
      | limit | kind           | amount | seconds | served |
      | 1     | concurrency    | 1      | 10      | 20     |
      | 3     | concurrency    | 1      | 10      | 60     |
      | 1     | requests_per_s | 1      | 30      | 2      |
      | 3000  | tokens_per_s   | 1000   | 20      | 4      |

  Scenario Outline: requests that need limits of <first> and <second> concurrency do not deadlock
    Given a limit of <first> concurrency shared by 7 nodes under policy "leased"
    And a second limit of <second> concurrency that all requests need
    When all nodes receive 500 requests of 1 permits and 20 s pass
    Then every node dispatched at least <served> requests
    And the limit was never exceeded and at most <first> permits are allocated

    Examples: a node must not keep a permit of one limit while it waits for the other limit
      | first | second | served |
      | 1     | 1      | 10     |
      | 2     | 3      | 20     |
      | 20    | 1      | 10     |

  Scenario: no messages are sent while demand does not change
    Given a limit of 100 concurrency shared by 7 nodes under policy "leased"
    When node n2 receives 200 requests of 1 permits and 2 s pass
    Then no limit message is sent during 10 s

  Scenario Outline: a release changes a limit from <old> to <new> under load
    Given a limit of <old> concurrency shared by 5 nodes under policy "leased"
    When all nodes receive 400 requests of 1 permits and 1 s pass
    And all nodes apply a release that sets the limit to <new> and 1 s pass
    Then the limit was never exceeded and at most <new> permits are allocated

    Examples:
      | old | new |
      | 20  | 7   |
      | 20  | 2   |
      | 7   | 40  |

  Scenario Outline: node n<crashed> of 5 crashes with 12 of 60 permits in use
    Given a limit of 60 concurrency shared by 5 nodes under policy "leased"
    When node n<crashed> receives 12 requests of 1 permits and 1 s pass
    And node n<crashed> crashes and is removed
    And node n<busy> receives 100 requests of 1 permits and 1 s pass
    Then node n<busy> may use at least <soon> permits
    And the limit was never exceeded and at most 48 permits are allocated
    When node n<busy> receives 1 requests of 1 permits and 8 s pass
    Then node n<busy> may use at least 57 permits

    Examples: n0 owns the limit; a new owner must quarantine all permits that no node reports
      | crashed | busy | soon |
      | 1       | 2    | 40   |
      | 2       | 0    | 40   |
      | 0       | 3    | 21   |

  Scenario Outline: policy <policy> divides a limit of 9 among 7 nodes
    Given a limit of 9 concurrency shared by 7 nodes under policy "<policy>"
    Then node n0 may use at least <first> permits
    And node n6 may use at least <last> permits

    Examples:
      | policy       | first | last |
      | static-split | 2     | 1    |
      | local-only   | 9     | 9    |

  Scenario: the policy without coordination exceeds the limit
    Given a limit of 9 concurrency shared by 7 nodes under policy "local-only"
    When all nodes receive 100 requests of 1 permits and 1 s pass
    Then the limit was exceeded

  Scenario Outline: max-min fair shares, after the permits of one attempt for each claim
    Then a capacity of <capacity> shared among <claims> gives <shares>

    Examples: demand/attempt size of each claim, by priority
      | capacity | claims               | shares    |
      | 10       | 3/1 20/1 20/1        | 3 4 3     |
      | 10       | 2/1 3/1              | 2 3       |
      | 2        | 5/1 5/1 5/1          | 1 1 0     |
      | 1000     | 900/400 900/400 90/9 | 455 455 90 |
      | 700      | 900/400 900/400 90/9 | 610 0 90  |
      | 0        | 5/1                  | 0         |
