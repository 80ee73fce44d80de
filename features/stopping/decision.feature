Feature: What a stopping node can still complete
  A request that a node takes late in a stop must be answered before the process is killed. One that
  cannot be is refused at once, and without need none is.

  # Guards against requests that are taken although nothing shows that they can end in time (LOST).
  Scenario Outline: <age> s into <grace> s a <kind> that must end within <bound> s and usually takes <usual> s is <decision>
    Given a node with <cores> cores and <count> requests in progress
    And 40 earlier requests of the route that took <usual> s
    When the node has been stopping for <age> s of <grace> s
    Then a new <kind> with <bound> s left is <decision>

    Examples: the usual time decides where it is known, and else the deadline
      | grace | age  | kind    | usual   | bound | cores | count | decision                 |
      | 8     | 0    | request | unknown | 1     | 1     | 0     | taken                    |
      | 8     | 6.5  | request | unknown | 1     | 1     | 0     | taken                    |
      | 8     | 6.7  | request | unknown | 1     | 1     | 0     | refused for its deadline |
      | 8     | 6.7  | request | 0.05    | 1     | 1     | 0     | taken                    |
      | 8     | 7.5  | request | 0.05    | 1     | 1     | 0     | taken                    |
      | 8     | 7.56 | request | 0.05    | 1     | 1     | 0     | refused for usual time   |
      | 8     | 7    | request | 3       | 0.5   | 1     | 0     | taken                    |
      | 8     | 5    | request | 3       | 20    | 1     | 0     | refused for usual time   |
      | 2     | 0    | request | unknown | 3     | 1     | 0     | refused for its deadline |
      | 2     | 0    | request | 0.5     | 3     | 1     | 0     | taken                    |
      | 2     | 1.5  | request | 0.5     | 3     | 1     | 0     | refused for usual time   |
      | 30    | 27   | request | 3       | 20    | 1     | 0     | refused for usual time   |
      | 30    | 25   | request | 3       | 20    | 1     | 0     | taken                    |

    Examples: streams get a margin, and late ones are taken only if their deadline ends in time
      | grace | age  | kind    | usual   | bound | cores | count | decision                 |
      | 8     | 0    | stream  | 20      | 20    | 1     | 0     | refused for its deadline |
      | 8     | 0    | stream  | unknown | 20    | 1     | 0     | refused for its deadline |
      | 8     | 1.5  | stream  | unknown | 6     | 1     | 0     | taken                    |
      | 8     | 1.7  | stream  | unknown | 6     | 1     | 0     | refused for its deadline |
      | 8     | 1.5  | stream  | 3       | 20    | 1     | 0     | taken                    |
      | 8     | 2.4  | stream  | 4       | 20    | 1     | 0     | refused for usual time   |
      | 8     | 2.4  | stream  | 3       | 20    | 1     | 0     | taken                    |
      | 8     | 2.6  | stream  | 3       | 20    | 1     | 0     | refused for its deadline |
      | 8     | 2.6  | stream  | 0.2     | 6     | 1     | 0     | refused for its deadline |
      | 8     | 2.6  | stream  | 0.2     | 4     | 1     | 0     | taken                    |
      | 8     | 6.5  | stream  | 0.2     | 20    | 1     | 0     | refused for its deadline |
      | 8     | 6.5  | stream  | 0.2     | 1     | 1     | 0     | taken                    |
      | 8     | 7.4  | stream  | 0.2     | 20    | 1     | 0     | refused for its deadline |
      | 2     | 1    | stream  | 3       | 20    | 1     | 0     | refused for usual time   |
      | 30    | 20   | stream  | 3       | 20    | 1     | 0     | refused for its deadline |
      | 30    | 9    | stream  | 3       | 20    | 1     | 0     | taken                    |
      | 60    | 2    | stream  | 20      | 60    | 1     | 0     | taken                    |
      | 60    | 32   | stream  | 20      | 60    | 1     | 0     | refused for its deadline |

    Examples: a small node needs time to write the final responses of the requests in progress
      | grace | age  | kind    | usual   | bound | cores | count | decision                 |
      | 8     | 7.5  | request | 0.05    | 1     | 0.5   | 0     | taken                    |
      | 8     | 7.5  | request | 0.05    | 1     | 0.5   | 200   | refused for usual time   |
      | 8     | 7.1  | request | 0.05    | 1     | 0.5   | 200   | taken                    |

  # Guards against an estimate from so few requests that the next one easily exceeds it.
  Scenario Outline: with 30 s left and after <count> requests that took 0.1 s, <age> s ago, <work> is expected to take <expected>
    Given <count> requests that took 0.1 s, <age> s ago
    Then <work> is expected to take <expected>

    Examples: the fewer observations, the nearer to the deadline; a request that was taken goes on
      | count | age | work                    | expected       |
      | 0     | 0   | a request               | 30 to 30 s     |
      | 1     | 0   | a request               | 15 to 15.1 s   |
      | 9     | 0   | a request               | 3 to 3.2 s     |
      | 18    | 30  | a request               | 3 to 3.2 s     |
      | 99    | 0   | a request               | 0.4 to 0.43 s  |
      | 0     | 0   | an attempt of a request | 0 to 0 s       |
      | 1     | 0   | an attempt of a request | 0.1 to 0.121 s |

  # Guards against a usual time that few slow requests do not show, or that never falls again.
  Scenario Outline: of <fast> requests in 0.1 s and <slow> in 2 s, <age> s later and with 40 more in 0.1 s, a <kind> is expected to take <expected>
    Given <fast> requests that took 0.1 s and <slow> that took 2 s, <age> s before 40 more in 0.1 s
    Then a <kind> is expected to take <expected>

    Examples: with 30 s left
      | fast | slow | age  | kind    | expected     |
      | 60   | 10   | 0    | request | 2 to 2.7 s   |
      | 60   | 2    | 0    | request | 0.1 to 0.5 s |
      | 60   | 2    | 0    | stream  | 3 to 3.9 s   |
      | 60   | 2    | 300  | stream  | 0.1 to 0.9 s |
      | 60   | 10   | 9000 | request | 0.1 to 0.9 s |

  # Guards against requests that are given up late in a stop although they would probably end in time.
  Scenario: a request that was taken is continued if half of the attempts end in the time left
    Given 60 requests that took 0.1 s and 50 that took 2 s, 0 s before 40 more in 0.1 s
    Then an attempt of a request is expected to take 0.1 to 0.121 s
