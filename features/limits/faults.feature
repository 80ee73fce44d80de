Feature: Limits hold under faults
  A limit must not be exceeded whatever the network, the nodes and the releases do, and its
  capacity must be usable again when the faults end.

  Scenario: random loss, duplication, delay, pauses, crashes, view changes and releases
    When limits run under random faults

  Scenario Outline: removing the <guard> is noticed
    When limits run the schedule that needs the "<guard>"
    Then limits are exceeded only when the guard is removed

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
