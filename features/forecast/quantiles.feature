Feature: Quantiles of observed durations
  Observations count half as much after 30 s. Times are monotonic.

  # Guards against an overflow when a route is used again after hours (OverflowError in 2.0 ** x).
  Scenario Outline: after <pause> s without requests, durations of a route are still recorded
    Given 20 durations of 3 s
    When <pause> s have passed
    Then there is evidence of at most <count> observations
    And 20 more durations of 0.1 s give a median of 0.1 to 0.121 s

    Examples: the weight halves in 30 s
      | pause    | count |
      | 0        | 20    |
      | 30       | 10    |
      | 30700    | 0.1   |
      | 40000    | 0     |
      | 31536000 | 0     |

  # Guards against a negative or infinite weight if a time is earlier than the one before.
  Scenario: a time before the first observation counts as that of the first
    Given 20 durations of 3 s
    When -40000 s have passed
    Then there is evidence of at most 20 observations
    And 20 more durations of 0.1 s give a median of 0.1 to 0.121 s
