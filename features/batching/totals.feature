Feature: Totals of waiting pieces and kept results
  Queues decide by totals that are kept up to date at each change; one that drifts makes calls
  too small or overfills an upstream.

  Scenario Outline: after random changes with seed <seed> the totals are those of the parts
    When pieces of 5 orders are added and removed 400 times with seed <seed>
    Then the waiting pieces and their totals are those of a plain list
    When results are kept, marked, freed and expire 400 times with seed <seed>
    Then the kept results and their totals are those of a plain list

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
