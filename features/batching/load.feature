Feature: Simulated load of stage queues
  A call takes a fixed time, so that the throughput of a stage depends on how full its calls are.
  The simulations use no network. They have the request rates and result sizes of two deployments,
  with requests that arrive in groups, bursts and a crash.

  Scenario Outline: steady load for <deployment> is served on time
    Given the stage workload for <deployment>
    When the workload is simulated for 34 s
    Then at least 0.95 of the requests of each kind are on time

    Examples: the target is 95 of 100 requests
      | deployment  |
      | four zones  |
      | three zones |

  Scenario Outline: a burst of <factor> times the rate of <kind> requests for <deployment> fails hardly any request
    Given the stage workload for <deployment>
    When the workload is simulated for 34 s with <factor> times the rate of <kind> requests from 10 s to 16 s
    Then at most 0.001 of the requests of each kind fail
    And no kind has an on-time share more than 0.15 below that of a less urgent kind

    Examples: burst of one kind
      | deployment  | kind | factor |
      | four zones  | long | 2.3    |
      | four zones  | big  | 2.3    |
      | three zones | long | 2.3    |
      | three zones | big  | 2.3    |

  Scenario Outline: a burst for <deployment> while one upstream of the first stage is down
    Given the stage workload for <deployment>
    And upstream 1 of the first stage is down from 9 s to 15 s
    When the workload is simulated for 34 s with 2.3 times the rate of big requests from 10 s to 16 s
    Then at most 0.01 of the requests of each kind fail

    Examples: burst during a crash
      | deployment  |
      | four zones  |
      | three zones |

  Scenario Outline: <nodes> nodes that batch separately serve less for <deployment> than a single owner
    Given the stage workload for <deployment>
    When the workload is simulated for 34 s with 1.6 times the rate of all requests from 10 s to 16 s
    And the workload is simulated again with <nodes> nodes that batch separately
    Then a single owner earns more value with fuller calls

    Examples: pieces of many nodes
      | deployment  | nodes |
      | four zones  | 7     |
      | three zones | 6     |

  Scenario Outline: pieces that fail at random neither delay requests nor waste results for <deployment>
    Given the stage workload for <deployment>
    And 0.004 of the pieces fail at random
    When the workload is simulated for 34 s
    Then at least 0.95 of the requests of each kind are on time
    And at most 0.005 of the results are never used

    Examples: single pieces fail, the target is 95 of 100 requests
      | deployment  |
      | four zones  |
      | three zones |

  Scenario Outline: a burst of <kind> requests for <deployment> while pieces fail at random fails hardly any request
    Given the stage workload for <deployment>
    And 0.004 of the pieces fail at random
    When the workload is simulated for 34 s with 2.3 times the rate of <kind> requests from 10 s to 16 s
    Then at most 0.005 of the requests of each kind fail
    And no kind has an on-time share more than 0.15 below that of a less urgent kind

    Examples: burst while pieces fail
      | deployment  | kind |
      | four zones  | long |
      | four zones  | big  |
      | three zones | long |
      | three zones | big  |

  Scenario Outline: requests that arrive after a burst for <deployment> do not wait behind late ones
    Calls for requests that are late already must not delay requests that can still be on time.
    Otherwise all requests become late, and the backlog outlasts the burst.

    Given the stage workload for <deployment>
    When the workload is simulated for 22 s with <factor> times the rate of long requests from 6 s to 12 s
    Then at least 0.95 of the requests of each kind that arrive from 14 s on are on time

    Examples: the burst exceeds the capacity of full calls, the target is 95 of 100 requests
      | deployment  | factor |
      | 81 nodes    | 3.6    |

  Scenario Outline: requests that arrive after a burst for <deployment> while pieces fail do not wait behind late ones
    Given the stage workload for <deployment>
    And 0.004 of the pieces fail at random
    When the workload is simulated for 22 s with <factor> times the rate of long requests from 6 s to 12 s
    Then at least 0.95 of the requests of each kind that arrive from 14 s on are on time

    Examples: burst of one kind, the target is 95 of 100 requests
      | deployment  | factor |
      | 67 nodes    | 3      |
      | 81 nodes    | 3      |

  Scenario Outline: one upstream of the <stage> stage for <deployment> is silent for <time> s
    Guards against calls that are given up although their upstream goes on, and against an upstream
    that gets no calls afterwards because one call took long.

    Given the stage workload for <deployment>
    And upstream 0 of the <stage> stage is silent from 6 s for <time> s
    When the workload is simulated for 14 s
    Then at most <late> requests are late and none fails
    And no call was given up

    Examples: three seeds; before, 9, 30 and 20 were late
      | deployment | stage  | time | late |
      | four zones | first  | 1.5  | 7    |
      | four zones | second | 1.5  | 24   |
      | four zones | third  | 1.5  | 10   |

  # Guards against a backlog that outlasts its cause: late requests hold the space for results that requests in time need.
  Scenario Outline: requests that arrive 3 s or more after a silence of all upstreams are on time for <deployment>
    Given the stage workload for <deployment>
    And one upstream of the second stage is gone
    And all upstreams of all stages are silent from 5 s for 2.5 s
    When the workload is simulated for 18 s
    Then at least 0.9 of all requests that arrive from 10 s to 16 s are on time

    Examples: the target is 9 of 10 requests
      | deployment  |
      | four zones  |
      | three zones |

  Scenario Outline: requests that arrive 3 s or more after a burst of all kinds are on time for <deployment>
    Given the stage workload for <deployment>
    When the workload is simulated for 18 s with 4 times the rate of all requests from 5 s to 7 s
    Then at least 0.9 of all requests that arrive from 10 s to 16 s are on time

    Examples: the target is 9 of 10 requests
      | deployment  |
      | four zones  |
      | three zones |
      | 67 nodes    |
      | 81 nodes    |
