Feature: Many nodes route to the same engines
  Guards against all nodes choosing the same engine when load reports are delayed by several
  service times.

  Scenario Outline: <nodes> nodes, reports delayed by <lag> s, one engine slower by <factor>
    When routing runs <nodes> nodes at <rate>/s, lag <lag> s, engine 1 slower by <factor>
    Then routing latency of the default policy is at most <least> % of least-outstanding at percentile 99
    And routing latency of the default policy is at most <robin> % of round-robin at percentile 99
    And routing with the default policy has at most <peak> attempts at one engine

    Examples: mean service time 0.1 s, 4 concurrent attempts per engine, 10 s of traffic
      | nodes | rate | lag | factor | least | robin | peak |
      | 20    | 200  | 0.5 | 1      | 115   | 110   | 22   |
      | 20    | 200  | 1.5 | 1      | 115   | 110   | 22   |
      | 20    | 170  | 0.5 | 4      | 85    | 30    | 22   |
      | 5     | 150  | 0.5 | 4      | 75    | 20    | 15   |
