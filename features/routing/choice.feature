Feature: Choice among healthy upstreams
  Load, availability zone and prefix cache all affect the choice, and none of them decides alone.

  Scenario Outline: engine 0 of 3 reported load <load> <age> s ago
    Given routing with policy "chervilrack" over 3 engines in 1 zones
    When routing engine 0 reports load <load> with an age of <age> s
    Then routing engine 0 gets <low> to <high> of 300 decisions

    Examples: an old report decays, so that an outdated load does not keep all nodes away
      | load | age | low | high |
      | 8    | 0.1 | 0   | 0    |
      | 8    | 20  | 60  | 140  |

  Scenario Outline: a report of <load> counts the <own> requests of this node once
    Given routing with policy "chervilrack" over 2 engines in 1 zones
    When routing has <own> requests in flight at engine 0
    And routing waits 1 s
    And routing has <other> requests in flight at engine 1
    And routing engine 0 reports load <load> with an age of 0.02 s
    Then routing engine 0 gets <low> to <high> of 100 decisions

    Examples: if this node's requests counted twice, engine 0 would have load 8 in the first row
      | own | other | load | low | high |
      | 4   | 5     | 4    | 100 | 100  |
      | 4   | 3     | 4    | 0   | 0    |
      | 0   | 3     | 6    | 0   | 0    |

  Scenario: an outdated report of an idle engine does not attract all requests
    Given routing with policy "chervilrack" over 6 engines in 1 zones
    When routing engine 1 reports load 3 with an age of 0.5 s
    And routing engine 2 reports load 3 with an age of 0.5 s
    And routing engine 3 reports load 3 with an age of 0.5 s
    And routing engine 4 reports load 3 with an age of 0.5 s
    And routing engine 5 reports load 3 with an age of 0.5 s
    And routing engine 0 reports load 0 with an age of 0.5 s
    Then routing engine 0 gets 20 to 100 of 300 decisions

  Scenario Outline: engine 2 holds the prefix and has <queue> requests in flight
    Given routing with policy "chervilrack" over 6 engines in 1 zones
    When routing sends one request with prefixes 11,12,13,14 to engine 2
    And routing has <queue> requests in flight at engine 2
    Then routing engine 2 gets <low> to <high> of 100 decisions with prefixes <prefixes>

    Examples: affinity has less weight than a long queue
      | queue | prefixes    | low | high |
      | 0     | 11,12,13,14 | 100 | 100  |
      | 1     | 11,12,13,14 | 100 | 100  |
      | 4     | 11,12,13,14 | 0   | 0    |
      | 0     | 11,12,93,94 | 100 | 100  |
      | 0     | 91,92,93,94 | 5   | 60   |

  Scenario Outline: engine 2 with <queue> requests in flight sends cache events "<events>"
    Given routing with policy "chervilrack" over 6 engines in 1 zones
    When routing engine 2 sends cache events "<events>"
    And routing has <queue> requests in flight at engine 2
    Then routing engine 2 gets <low> to <high> of 100 decisions with prefixes 11,12

    Examples: late, reordered and lost events
      | events                    | queue | low | high |
      | 1:+11,12                  | 1     | 100 | 100  |
      | 1:+11,12 2:-11,12         | 0     | 5   | 60   |
      | 1:+11,12 2:-11,12@9       | 1     | 100 | 100  |
      | 1:+11,12 2:clear          | 0     | 5   | 60   |
      | 2:clear 1:+11,12@5        | 0     | 5   | 60   |
      | 1:+11,12 3:+77            | 0     | 100 | 100  |
      | 1:+11,12 3:+77            | 2     | 0   | 0    |
      | 1:+11,12 3:+77 2:+78      | 1     | 100 | 100  |

  Scenario Outline: requests stay in the zone until its engine has <queue> requests in flight
    Given routing with policy "chervilrack" over 3 engines in 3 zones
    When routing has <queue> requests in flight at engine 0
    Then routing engine 0 gets <low> to <high> of 100 decisions

    Examples:
      | queue | low | high |
      | 0     | 100 | 100  |
      | 3     | 0   | 0    |

  Scenario Outline: <policy> spreads requests evenly over <engines> idle engines
    Given routing with policy "<policy>" over <engines> engines in 1 zones
    Then routing engine 3 gets <low> to <high> of 2000 decisions

    Examples:
      | policy            | engines | low | high |
      | chervilrack       | 6       | 250 | 420  |
      | chervilrack       | 100     | 5   | 40   |
      | round-robin       | 100     | 20  | 20   |
      | least-outstanding | 100     | 5   | 40   |

  Scenario Outline: <policy> learns the service time per token
    Given routing with policy "<policy>" over 4 engines in 1 zones
    Then routing expects 200 to 200 ms for 100 tokens
    When routing learns 100 ms plus 2 ms per token from 150 requests
    Then routing expects 470 to 530 ms for 200 tokens
    And routing expects 850 to 950 ms for 400 tokens

    Examples:
      | policy            |
      | chervilrack       |
      | least-outstanding |

  Scenario Outline: <policy> does not choose an excluded engine
    Given routing with policy "<policy>" over 3 engines in 1 zones
    Then routing chooses no engine when all engines are excluded

    Examples:
      | policy            |
      | chervilrack       |
      | round-robin       |
      | least-outstanding |

  Scenario: decision times of all policies are measured
    Then routing decision times for 6 candidates are measured in 6 rows
