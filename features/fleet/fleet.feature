Feature: Nodes as they see each other
  Callers must not be sent to nodes that are gone or leaving, a starting node must find the
  others, and a node that was paused must not take the others for gone.

  Scenario Outline: after <events> node b is <seen>
    Given a node a that knows the address of node b
    When node a sees <events>
    Then node b is <seen> for node a

    Examples: silence_heartbeats x heartbeat = 1.05 s
      | events                          | seen           |
      | nothing                         | unknown        |
      | beat                            | used           |
      | beat, 0.9 s                     | used           |
      | beat, 1.2 s                     | unused         |
      | beat, 1.2 s, beat               | used           |
      | unready beat                    | unused         |
      | beat, leaving beat              | unused         |
      | beat, leaving beat, restart     | used           |
      | beat, 25 s                      | unknown        |
      | beat, 5 s pause, 0.5 s          | used           |
      | beat, 0.9 s, order, 0.9 s       | used           |
      | beat, 1.2 s, order              | unused         |
      | beat, 0.9 s, order of its predecessor, 0.9 s | unused |
      | rare beat, 5 s, rare beat, 10 s | used           |
      | rare beat, 18 s                 | unused         |

  Scenario Outline: <event> of node b tells <told>
    Given a node a that knows the address of node b
    When node a sees beat
    And node a sees <event>
    Then node a was told <told>

    Examples: work at a leaving node goes on, work of a lost one does not
      | event        | told         |
      | leaving beat | PeerLeaving  |
      | restart      | PeerLost     |
      | 1.2 s        | PeerLost     |
      | beat         | nothing      |

  Scenario: addresses spread from node to node
    Given a node a that knows the address of node b
    When node b names the address of node c to node a
    Then node a sends heartbeats to 2 addresses

  Scenario Outline: with <nodes> nodes a node sends at most <most> heartbeats a second
    Given a node a that hears <nodes> others
    Then node a sends at most <most> heartbeats a second

    Examples: the interval grows with the fleet
      | nodes | most |
      | 6     | 20   |
      | 80    | 80   |
      | 389   | 80   |

  Scenario Outline: a node that is ready for <own> s hears one that is <other>: <owners> own queues
    Given a node a that knows the address of node b
    When node a is ready for <own> s
    And node b is <other>
    Then queues are owned by <owners>

    Examples: a queue that moves to a process that has just started loses what is known of its upstreams
      | own | other             | owners |
      | 9   | ready for 9 s     | a, b   |
      | 9   | ready for 1 s     | a      |
      | 1   | ready for 9 s     | b      |
      | 1   | ready for 1 s     | a, b   |
      | 1   | not heard         | a      |

  Scenario: a leaving node owns no queue while another is ready
    Given a node a that knows the address of node b
    When node a is ready for 9 s
    And node b is ready for 1 s
    And node a leaves
    Then queues are owned by b
