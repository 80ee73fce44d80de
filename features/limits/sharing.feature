Feature: Limits follow demand
  Idle permits must not be lost to nodes with waiting work, and no node may starve.

  Scenario Outline: one busy node among <nodes> gets <permits> of <limit> within a second
    Given limits of <limit> <kind> at <nodes> nodes with policy "leased"
    When limits node 2 gets <requests> requests of <amount> permits and 1 s pass
    Then limits node 2 may use at least <permits> permits
    And limits are held and at most <limit> permits are out

    Examples:
      | limit | kind           | nodes | requests | amount | permits |
      | 100   | concurrency    | 7     | 200      | 1      | 94      |
      | 20    | concurrency    | 7     | 40       | 1      | 20      |
      | 3     | concurrency    | 7     | 40       | 1      | 3       |
      | 1     | concurrency    | 7     | 40       | 1      | 1       |
      | 50    | requests_per_s | 5     | 400      | 1      | 46      |
      | 10000 | tokens_per_s   | 7     | 60       | 1500   | 9994    |

  Scenario Outline: capacity moves from one busy node to the next within a second
    Given limits of <limit> concurrency at 7 nodes with policy "leased"
    When limits node 1 gets <requests> requests of 1 permits and 1 s pass
    And limits node 5 gets <requests> requests of 1 permits and 1 s pass
    Then limits are held and at most <limit> permits are out

    Examples:
      | limit | requests |
      | 100   | 20       |
      | 8     | 8        |

  Scenario Outline: a limit of <limit> <kind> goes around among 7 nodes
    Given limits of <limit> <kind> at 7 nodes with policy "leased"
    When limits all nodes get 500 requests of <amount> permits and <seconds> s pass
    Then limits every node was served at least <served> times
    And limits are held and at most <limit> permits are out

    Examples:
      | limit | kind           | amount | seconds | served |
      | 1     | concurrency    | 1      | 10      | 20     |
      | 3     | concurrency    | 1      | 10      | 60     |
      | 1     | requests_per_s | 1      | 30      | 2      |
      | 3000  | tokens_per_s   | 1000   | 20      | 4      |

  Scenario Outline: work that needs <first> permits of one limit and one of <second> of another
    Given limits of <first> concurrency at 7 nodes with policy "leased"
    And limits of <second> for a second pool that all work needs
    When limits all nodes get 500 requests of 1 permits and 20 s pass
    Then limits every node was served at least <served> times
    And limits are held and at most <first> permits are out

    Examples: nodes must not keep one permit each while they wait for the other
      | first | second | served |
      | 1     | 1      | 10     |
      | 2     | 3      | 20     |
      | 20    | 1      | 10     |

  Scenario: nothing is sent while demand does not change
    Given limits of 100 concurrency at 7 nodes with policy "leased"
    When limits node 2 gets 200 requests of 1 permits and 2 s pass
    Then limits no message is sent during 10 s

  Scenario Outline: a release changes a limit from <old> to <new> under load
    Given limits of <old> concurrency at 5 nodes with policy "leased"
    When limits all nodes get 400 requests of 1 permits and 1 s pass
    And limits release <new> is applied everywhere and 1 s pass
    Then limits are held and at most <new> permits are out

    Examples:
      | old | new |
      | 20  | 7   |
      | 20  | 2   |
      | 7   | 40  |

  Scenario Outline: node <crashed> of 5 crashes with 12 of 60 permits in use
    Given limits of 60 concurrency at 5 nodes with policy "leased"
    When limits node <crashed> gets 12 requests of 1 permits and 1 s pass
    And limits node <crashed> crashes and is removed
    And limits node <busy> gets 100 requests of 1 permits and 1 s pass
    Then limits node <busy> may use at least <soon> permits
    And limits are held and at most 48 permits are out
    When limits node <busy> gets 1 requests of 1 permits and 8 s pass
    Then limits node <busy> may use at least 57 permits

    Examples: the owner is n0; if it crashes, the next one cannot tell its share from idle permits
      | crashed | busy | soon |
      | 1       | 2    | 40   |
      | 2       | 0    | 40   |
      | 0       | 3    | 21   |

  Scenario Outline: policy <policy> with a limit of 9 at 7 nodes
    Given limits of 9 concurrency at 7 nodes with policy "<policy>"
    Then limits node 0 may use at least <first> permits
    And limits node 6 may use at least <last> permits

    Examples:
      | policy       | first | last |
      | static-split | 2     | 1    |
      | local-only   | 9     | 9    |

  Scenario: the baseline without coordination exceeds the limit
    Given limits of 9 concurrency at 7 nodes with policy "local-only"
    When limits all nodes get 100 requests of 1 permits and 1 s pass
    Then limits are exceeded

  Scenario Outline: max-min fair shares with one chunk first
    Then limits of <capacity> shared among <claims> give <shares>

    Examples: want/chunk of each claim, by priority
      | capacity | claims               | shares    |
      | 10       | 3/1 20/1 20/1        | 3 4 3     |
      | 10       | 2/1 3/1              | 2 3       |
      | 2        | 5/1 5/1 5/1          | 1 1 0     |
      | 1000     | 900/400 900/400 90/9 | 455 455 90 |
      | 700      | 900/400 900/400 90/9 | 610 0 90  |
      | 0        | 5/1                  | 0         |
