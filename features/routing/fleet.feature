Feature: Many nodes route to the same engines
  Reports that lag by many service times must not make all nodes pick the same engine.

  Scenario Outline: <nodes> nodes, reports lag <lag> s, one engine slower by <factor>
    When routing runs <nodes> nodes at <rate>/s, lag <lag> s, engine 1 slower by <factor>
    Then routing with the default has at most <least> % of the 99th percentile of least-outstanding
    And routing with the default has at most <robin> % of the 99th percentile of round-robin
    And routing with the default queues at most <peak> attempts at one engine

    Examples: service time 0.1 s, 4 attempts side by side per engine, 10 s
      | nodes | rate | lag | factor | least | robin | peak |
      | 20    | 200  | 0.5 | 1      | 115   | 110   | 22   |
      | 20    | 200  | 1.5 | 1      | 115   | 110   | 22   |
      | 20    | 170  | 0.5 | 4      | 85    | 30    | 22   |
      | 5     | 150  | 0.5 | 4      | 75    | 20    | 15   |
