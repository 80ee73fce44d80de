Feature: Limits hold under faults
  Network faults, crashes, pauses, view changes and releases must not lead to a limit being
  exceeded. After the faults end, the whole capacity must be usable again.

  Scenario: a limit holds under random faults, view changes and releases
    When a cluster with one limit runs under random faults

  Scenario Outline: the limit would be exceeded without the <guard>
    # Fails if the simulated faults no longer detect that the guard is missing.
    When the schedule for the "<guard>" runs with and without this guard
    Then the limit is exceeded only without the guard

    Examples:
      | guard                       |
      | epoch check                 |
      | version check               |
      | revision check              |
      | unacknowledged allocations  |
      | quarantine                  |
      | quarantine time             |
      | reports from all members    |
      | suspension after tightening |
      | window margin               |
      | confirmation                |
