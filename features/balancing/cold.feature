Feature: Upstreams that are cold
  A cold upstream bears few requests, summed over all nodes. Nodes agree on who may send them without messages, and a node whose
  view may differ from that of all others sends none.

  Scenario Outline: <size> nodes, <trouble>: no cold upstream gets more than the bound in any second
    The bound is 24.5 requests: 13 a second x 1.5 + 5. No other upstreams are left, so that each node sends all that it may.

    When <days> courses of <size> nodes are drawn with <trouble> when a zone returns cold
    Then no upstream of the zone gets more than 24.5 requests in a second
    And on average its upstreams get at least <least> requests a second

    Examples: small fleets, in which any fault takes away or adds much of an upstream's share
      | size | days | trouble                                    | least |
      | 3    | 10   | no trouble                                 | 8     |
      | 7    | 10   | no trouble                                 | 8     |
      | 7    | 20   | the fleet has just started                 | 0     |
      | 7    | 20   | a tenth is cut off, each from all others   | 6     |
      | 7    | 20   | half is cut off from the other half        | 0     |
      | 7    | 20   | a tenth freezes and wakes                  | 6     |
      | 7    | 20   | most are killed and start again            | 0     |
      | 7    | 20   | a tenth starts anew, one after the other   | 6     |
      | 7    | 20   | all of it                                  | 0     |

    Examples: large fleets
      | size | days | trouble                                    | least |
      | 70   | 1    | no trouble                                 | 8     |
      | 70   | 1    | the fleet has just started                 | 0     |
      | 70   | 2    | a tenth is cut off, each from all others   | 6     |
      | 70   | 1    | half is cut off from the other half        | 0     |
      | 70   | 1    | most are killed and start again            | 0     |
      | 70   | 2    | all of it                                  | 0     |
      | 195  | 1    | a tenth is cut off, each from all others   | 6     |
      | 195  | 1    | all of it                                  | 0     |

  Scenario Outline: <size> nodes that all hear each other, <trouble>: half of the bound is used
    When <days> courses of <size> nodes are drawn with <trouble> when a zone returns cold
    Then no upstream of the zone gets more than 12 requests in a second

    Examples: a node that starts sends nothing before all others know it
      | size | days | trouble                    |
      | 7    | 10   | the fleet has just started |
      | 70   | 3    | the fleet has just started |

  Scenario: of two requests that are chosen for the last place, the second is not sent
    Given a node alone with upstream u1 of a service with a warm-up
    When the zone of u1 returns
    And 12 requests are sent to u1 at once
    Then u1 may get the last of these, and nothing that was chosen with it

  Scenario Outline: <event>: of 40 requests in half a second, <count> are sent, and all after 3 s more
    Given a node alone with upstream u1 of a service <service>
    When <event>
    And 40 requests come within half a second
    Then <count> of them are sent to u1
    When 3 s more have passed and 40 requests come within half a second
    Then 40 of them are sent to u1

    Examples: half of the bound of 24.5 requests a second is used
      | event                                               | service                  | count |
      | u1 starts                                           | with a warm-up           | 12    |
      | u1 starts again under its id                        | with a warm-up           | 12    |
      | u1 says that it is cold for 3 s                     | with a warm-up           | 12    |
      | u1 says that it is cold for 100000 s                | with a warm-up           | 12    |
      | the zone of u1 returns                              | with a warm-up           | 12    |
      | u1 answers again after it has refused connections   | with a warm-up           | 12    |

    Examples: upstreams that are not cold, and deployments without a bound
      | event                                               | service                  | count |
      | nothing happens                                     | with a warm-up           | 40    |
      | the node starts and lists u1                        | with a warm-up           | 40    |
      | u1 changes its version                              | with a warm-up           | 40    |
      | u1 says that it is cold for 0 s                     | with a warm-up           | 40    |
      | u1 answers again after it has turned requests away  | with a warm-up           | 40    |
      | the zone of u1 returns                              | without a warm-up        | 40    |
      | the zone of u1 returns                              | without a bound          | 40    |
      | the zone of u1 returns                              | of stages                | 40    |

  Scenario Outline: <others> beside cold upstream u1: a request that comes after 12 others is <result>
    Given a node alone with upstream u1 of a service with a warm-up
    And <others>
    When the zone of u1 returns
    And 12 requests are sent to u1 at once
    Then a request that comes 0.6 s later is <result>

    Examples: the refusal says when the node may send to u1 again
      | others                   | result                                   |
      | no other upstream        | refused with UPSTREAMS_COLD for 0.5 s    |
      | warm upstream u2         | sent to u2                               |

  Scenario: a node that may not send to the only upstream, which is cold, says when that ends
    Given a node alone with upstream u1 of a service with a warm-up
    And 3 other nodes are registered that it does not hear
    When the zone of u1 returns
    Then a request that comes 0.6 s later is refused with UPSTREAMS_COLD for 2.4 s

  Scenario: the registered nodes are those of the store
    Given a node that knows upstreams u1 and u2 of zone z1
    When nodes b and c register, and then c ends
    Then the node counts b as registered

  Scenario Outline: bounds <bounds> allow the owners of a cold upstream that bears <rate> requests/s <share> requests a second
    Then bounds <bounds> allow <share> requests a second at a rate of <rate>

    Examples:
      | bounds                             | rate | share |
      | coldOverage 1.5 and coldSlack 5    | 13   | 12    |
      | coldOverage 1.5 and coldSlack 5    | 2    | 2     |
      | coldOverage 1.5 and coldSlack 5    | 0.5  | 1     |
      | coldOverage 3 and coldSlack 5      | 13   | 13    |
      | coldOverage 1.5                    | 13   | 9     |
      | coldSlack 5                        | 13   | 9     |
      | coldOverage 1.5 and coldSlack 0    | 1    | 0     |
      | evacuateMs 5000                    | 13   | no bound |

  Scenario: a configuration says how long the upstreams of a service are cold, and what they bear
    Then a service with coldStartS 3 and coldPerS 13 warms up for 3 s at 13 requests a second
    And a service with coldStartS 0 and coldPerS 13 does not warm up
