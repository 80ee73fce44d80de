Feature: Health of upstreams
  Stragglers and failing upstreams get little or no work, and the other upstreams are not
  overloaded as a result.

  Scenario Outline: <policy> sends few requests to a straggler among <engines> engines
    Given routing with policy "<policy>" over <engines> engines in 1 zones
    And routing engine 1 is slower by factor <factor>
    When routing sends 600 requests
    Then routing sent <low> to <high> requests to engine 1

    Examples: an equal share is 100 of 600 and 200 of 600
      | policy            | engines | factor | low | high |
      | chervilrack       | 6       | 2      | 2   | 70   |
      | chervilrack       | 6       | 8      | 2   | 25   |
      | chervilrack       | 3       | 8      | 2   | 40   |
      | round-robin       | 6       | 8      | 100 | 100  |
      | least-outstanding | 6       | 8      | 10  | 60   |

  Scenario: an engine far slower than its peers is ejected
    Given routing with policy "chervilrack" over 6 engines in 1 zones
    And routing engine 1 is slower by factor 8
    When routing sends 900 requests, one every 5 ms
    Then routing took the action "eject" on engine 1

  Scenario Outline: requests to engines <failing> of <engines> fail
    Given routing with policy "chervilrack" over <engines> engines in 1 zones
    And routing requests to engines <failing> fail
    When routing sends 200 requests
    Then routing ejected <low> to <high> engines

    Examples: at least half of the candidates are not ejected
      | engines | failing     | low | high |
      | 6       | 1           | 1   | 1    |
      | 6       | 0,1,2,3,4,5 | 3   | 3    |
      | 3       | 0,1,2       | 1   | 1    |
      | 1       | 0           | 0   | 0    |

  Scenario: an ejected engine returns after successful probes, with slow start
    Given routing with policy "chervilrack" over 6 engines in 1 zones
    And routing requests to engines 2 fail
    When routing sends 200 requests
    And routing sends 100 requests
    Then routing sent 0 to 1 requests to engine 2
    When routing engines recover and 10 s pass
    And routing sends 60 requests
    Then routing took the action "return" on engine 2
    And routing sent 3 to 8 requests to engine 2
    When routing sends 700 requests
    Then routing took the action "slow start end" on engine 2

  Scenario: an engine that fails its probe is ejected for a longer time
    Given routing with policy "chervilrack" over 6 engines in 1 zones
    And routing requests to engines 2 fail
    When routing sends 600 requests
    Then routing sent 3 to 8 requests to engine 2

  Scenario Outline: the share of a new engine grows for 10 s of slow start
    Given routing with policy "chervilrack" over 5 engines in 1 zones
    When routing sends 100 requests
    And routing adds engine 5 and sends 100 requests
    And routing waits <seconds> s
    Then routing engine 5 gets <low> to <high> of 600 decisions

    Examples: an equal share is 100 of 600
      | seconds | low | high |
      | 0       | 5   | 60   |
      | 3       | 30  | 85   |
      | 9       | 75  | 190  |
