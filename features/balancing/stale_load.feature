Feature: Even load from reports that are a little old
  Many nodes choose at the same moment by the same old reports. Upstreams are then overrun in turns
  while others idle. The simulation has 36 upstreams with 4 slots and a queue of 2 each, of which
  one in six takes 2.5 times as long; 0.6 of the slots are busy on average.

  Scenario Outline: <nodes> nodes with reports that are <age> ms old load upstreams no less evenly than by chance
    Old knowledge must never do more harm than none, and aging it must not cost anything.

    When <nodes> nodes choose by reports that are <age> ms old
    Then the policy "stale-aware" spreads the load no worse than "random"
    And under "stale-aware" fewer requests meet a full upstream than under "random"
    And under "stale-aware" fewer requests meet a full upstream than under "expected-wait"
    And under "stale-aware" requests wait less than under "expected-wait"

    Examples: reports of 79 nodes are 0.5 s old on average, of 195 nodes 1.2 s
      | nodes | age  |
      | 79    | 500  |
      | 79    | 2000 |
      | 195   | 1200 |

  Scenario: 6 nodes with reports that are 150 ms old load upstreams no less evenly than by chance
    Such reports are younger than most requests, and the waits under both policies are much alike.

    When 6 nodes choose by reports that are 150 ms old
    Then the policy "stale-aware" spreads the load no worse than "random"
    And under "stale-aware" fewer requests meet a full upstream than under "random"
    And under "stale-aware" fewer requests meet a full upstream than under "expected-wait"

  Scenario Outline: under "<policy>", reports of <load> do not take the requests of a session from its home
    Given a balancer with policy "<policy>" over 12 engines
    And 30 peers have reported <load> 500 ms ago
    When 50 requests of one session end before the next one is chosen
    Then their home gets at least <share> of them

    Examples:
      | policy        | load                       | share |
      | expected-wait | one request at each engine | 1     |
      | stale-aware   | one request at each engine | 1     |
      | stale-aware   | nothing                    | 1     |

  Scenario: a home that is full with this node's requests is left
    Given a balancer with policy "stale-aware" over 12 engines
    When 50 requests of one session are in flight at the same time
    Then their home gets at most 0.9 of them

  Scenario Outline: an upstream that <state> is never chosen by "stale-aware"
    Given a balancer with policy "stale-aware" over 12 engines
    And 30 peers have reported nothing 500 ms ago
    And engine u1 <state>
    When 300 requests without a session are chosen
    Then u1 gets 0 of them

    Examples:
      | state                   |
      | refuses connections     |
      | leaves                  |
      | is excluded             |

  Scenario: an engine that peers have found to be slow gets fewer requests, but some
    Given a balancer with policy "stale-aware" over 12 engines
    And 30 peers have reported engine u1 as 3 times slower
    When 1200 requests without a session are chosen
    Then u1 gets 10 to 60 of them

  Scenario Outline: the choice says how old the reports are: <age> ms with stays of 300 ms is <words>
    Given a balancer with policy "stale-aware" over 12 engines
    And 30 peers have reported one request at each engine <age> ms ago
    When 1 requests without a session are chosen
    Then the reason of the choice says "<words>"

    Examples: after three mean stays, only the node's own requests and the paces count
      | age  | words                   |
      | 200  | reports 0.20 s old      |
      | 1000 | reports 1.00 s old, too old |

  Scenario: the engines of an emptied zone get nothing, and those of a new one at once
    Given a balancer with policy "stale-aware" over 12 engines
    And 30 peers have reported one request at each engine 500 ms ago
    When u1 to u6 are no longer listed and u13 is new
    And 700 requests without a session are chosen
    Then u1 gets 0 of them
    And u13 gets 50 to 200 of them

  Scenario: reports of a node that has died count no more
    Given a balancer with policy "stale-aware" over 12 engines
    And 30 peers have reported one request at each engine 500 ms ago
    When all peers are lost
    And 1 requests without a session are chosen
    Then the reason of the choice says "in flight about 0.0"

  Scenario Outline: requests in flight of <loads> at the engines are a spread of <spread>
    Given a balancer with policy "stale-aware" over 4 engines
    And requests of <loads> in flight, half of them of a peer
    Then the spread of the load is <spread>

    Examples:
      | loads   | spread |
      | 0 0 0 0 | none   |
      | 2 2 2 2 | 0.00   |
      | 8 0 0 0 | 1.73   |
      | 4 0 4 0 | 1.00   |
