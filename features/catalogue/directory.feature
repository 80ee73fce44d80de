Feature: State of the store from a peer
  A node that is cut off from the store must not send work to an upstream that a peer knows to be
  removed. It must keep an upstream whose registration expired only because of an outage of the
  store for all nodes.

  Scenario Outline: <event> while node b is cut off, then after <time> s u2 is <state> at b
    Given node a and node b that both list upstreams u1 and u2
    When node b is cut off from the store
    And the store connection of node a reports <event>
    And node b gets a heartbeat of node a and then its state
    And <time> s pass at node b
    Then node b knows u1 and has u2 <state>

    Examples:
      | event                                      | time | state |
      | a change of u1                             | 10   | ready |
      | the end of u2                              | 0    | gone  |
      | a listing without u2                       | 0    | gone  |
      | an outage and then the end of u2           | 0    | ready |
      | an outage and then the end of u2           | 2.3  | gone  |

  Scenario Outline: node b follows node a, which reports <event>: after <time> s u2 is <state> at b
    Node b makes no calls to the store while node a passes the changes on.

    Given node a and node b that both list upstreams u1 and u2
    And node a watches the store for node b
    When the store connection of node a reports <event>
    And <time> s pass at node b
    Then node b knows u1 and has u2 <state>
    And node b <duty> watch the store itself

    Examples: each change is passed on, also twice, and what may have lapsed in an outage is kept
      | event                                      | time | state | duty         |
      | a change of u1                             | 0    | ready | need not     |
      | the end of u2                              | 0    | gone  | need not     |
      | the end of u2 and again its registration   | 0    | gone  | need not     |
      | an outage and then the end of u2           | 0    | ready | need not     |
      | an outage and then the end of u2           | 2.3  | gone  | has to       |
      | a listing without u2                       | 0    | ready | has to       |
      | an outage and then the end of u2, while node c was served | 0 | gone | need not |
      | an outage and then the end of u2, while node b was served | 0 | gone | need not |
      | nothing                                    | 1.5  | ready | need not     |
      | nothing                                    | 1.7  | ready | has to       |

  # Guards against time limits in series that each take the whole bound: the relay's call and its messages (CONFIG).
  Scenario Outline: node b follows node a, to which the store last answered <time> s ago: b <duty> watch
    Given node a and node b that both list upstreams u1 and u2
    And node a watches the store for node b
    When the store gives node a no response for <time> s, while node a sends what is due
    Then node b <duty> watch the store itself

    Examples: the bound is 2 s; an idle watch is answered after 1.4 s, and the own call needs time, too
      | time | duty     |
      | 0.5  | need not |
      | 1.4  | need not |
      | 1.65 | has to   |
      | 1.9  | has to   |
      | 2.5  | has to   |

  # Guards against a late configuration of which the log does not say what the node relied on.
  Scenario Outline: the log says that a configuration came by <way>
    Given node a and node b that both list upstreams u1 and u2
    When node b learns version 2 of the configuration by <way>
    Then node b logs that it applied version 2, with the source "<source>"

    Examples:
      | way                                 | source  |
      | its own listing                     | listing |
      | its own watch                       | watch   |
      | node a, which watches for its zone  | relay   |
      | the state of node a                 | peer    |

  Scenario: the log of a lost store says for how long it has been silent
    Given node a and node b that both list upstreams u1 and u2
    When node b is cut off from the store
    Then node b logs that the store was silent for 1000 ms

  Scenario: a node that is not fed counts all nodes as watching, a watcher only the watchers
    Every change ends all watch calls. In a starting fleet, or after a lost message, all nodes watch.
    Each then has to collect changes for long enough that the store is not called too often.

    Given node a and node b that both list upstreams u1 and u2
    And nodes a and b know the addresses of 194 other nodes
    Then node a counts 195 nodes as watching
    When node a watches the store for node b
    Then node a counts 1 node as watching
    And node b counts 195 nodes as watching

  # Guards against a source of the store's contents that is older than another one and undoes its removals (DRAIN).
  Scenario Outline: whatever the order in which <sources> arrive, a node knows the upstreams of its revision
    When <orders> orders of arrival of <sources> are drawn
    Then the node has at each time the upstreams that the store had at its revision
    And at the end it has those of the store

    Examples: late, lost and repeated answers and messages
      | sources                                               | orders |
      | listings, watches, states of a peer, relayed changes  | 400    |
      | listings in pages, watches, states of a peer, relayed changes | 400 |

  # Guards against a newer configuration that is passed over, because an older one bears a later revision.
  Scenario Outline: a node that has version <known> from a peer and then <arrives> has version <in force>
    Given node a and node b that both list upstreams u1 and u2
    When node b is cut off from the store
    And node b gets version <known> of the configuration from a peer at revision 9
    And node b <arrives>
    Then node b has version <in force> in force, and passes it on

    Examples: the peer could not read version 3, as older software cannot
      | known | arrives                                        | in force |
      | 2     | lists version 3 of revision 7, at revision 9   | 3        |
      | 2     | lists version 3 of revision 10, at revision 10 | 3        |
      | 3     | lists version 2 of revision 7, at revision 9   | 3        |
      | 2     | lists version 2 of revision 7, at revision 9   | 2        |

  # Guards against a deployment that stalls in a storm of large configurations (review case 6): each node read each of them from
  # the store, and asked its peers for them as well, over its small link.
  Scenario Outline: node b, which the store <answers>, gets heartbeats of a newer configuration for <seconds> s, <progress>
    Given node a and node b that both list upstreams u1 and u2
    When node a has version 2 of the configuration
    And the store <answers> node b
    And node b gets heartbeats of it for <seconds> s, <progress>
    Then node b asks <count> times for the state of node a

    Examples: with a bound of 2 s, a node reads from the store itself after 0.5 s, which takes 0.4 s at most
      | answers         | seconds | progress                          | count |
      | answers         | 0.8     | and reads nothing                 | 0     |
      | answers         | 1.0     | and reads nothing                 | 1     |
      | answers         | 3.0     | and reads from the store meanwhile | 0    |
      | does not answer | 0.1     | and reads nothing                 | 1     |
