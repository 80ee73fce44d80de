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
