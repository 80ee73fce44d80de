Feature: Totals of waiting pieces and kept results
  A queue updates its totals at each change instead of computing them anew. A wrong total would make
  calls too small or fill an upstream beyond its space.

  Scenario Outline: after random changes with seed <seed> the totals match the single entries
    When pieces of 5 orders are added and removed 400 times with seed <seed>
    Then the waiting pieces and their totals match a plain list
    When results are kept, marked, freed and expire 400 times with seed <seed>
    Then the kept results and their totals match a plain list

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
