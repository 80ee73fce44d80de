Feature: Failure detection among serving nodes
  Callers must not be sent to nodes that are lost or leaving. A starting node must find the other
  nodes. A node whose process was paused must not take the other nodes for lost.

  Scenario Outline: after <events> node b is <state>
    Given a node a that knows the address of node b
    When node a observes <events>
    Then node b is <state> for node a

    Examples: silence_heartbeats x min_heartbeat_interval = 1.05 s
      | events                                                | state   |
      | nothing                                               | unknown |
      | heartbeat                                             | used    |
      | heartbeat, 0.9 s                                      | used    |
      | heartbeat, 1.2 s                                      | unused  |
      | heartbeat, 1.2 s, heartbeat                           | used    |
      | unready heartbeat                                     | unused  |
      | heartbeat, leaving heartbeat                          | unused  |
      | heartbeat, leaving heartbeat, restart                 | used    |
      | heartbeat, 25 s                                       | unknown |
      | heartbeat, 5 s pause, 0.5 s                           | used    |
      | heartbeat, 0.9 s, order, 0.9 s                        | used    |
      | heartbeat, 1.2 s, order                               | unused  |
      | heartbeat, 0.9 s, order of previous process, 0.9 s    | unused  |
      | infrequent heartbeat, 5 s, infrequent heartbeat, 10 s | used    |
      | infrequent heartbeat, 18 s                            | unused  |

  Scenario Outline: <event> of node b has the effect <effect> at node a
    Given a node a that knows the address of node b
    When node a observes heartbeat
    And node a observes <event>
    Then the effect at node a is <effect>

    Examples: a leaving node completes its work, the work of a lost node has to be repeated
      | event             | effect      |
      | leaving heartbeat | PeerLeaving |
      | restart           | PeerLost    |
      | 1.2 s             | PeerLost    |
      | heartbeat         | nothing     |

  # Guards against nodes that stay lost to each other although new connections between them work.
  Scenario Outline: after <event>, a new connection to node b is <wanted>
    Given a node a that knows the address of node b
    When node a observes heartbeat
    And node a observes <event>
    Then a new connection to node b is <wanted>

    Examples: a restarted node has closed its connections
      | event   | wanted     |
      | restart | not wanted |
      | 1.2 s   | wanted     |

  # Guards against nodes that lose each other, and move their queues, for one connection that falls silent.
  Scenario Outline: after <events>, node b is tried over a new connection <times> times and <heard>
    Given a node a that knows the address of node b
    When node a observes <events>
    Then node b is tried over a new connection <times> times and <heard>

    Examples: half of the silence after which a node is lost is 0.525 s
      | events                                      | times | heard       |
      | nothing                                     | 0     | not awaited |
      | heartbeat, 0.5 s                            | 0     | not awaited |
      | heartbeat, 0.6 s                            | 1     | awaited     |
      | heartbeat, 0.6 s, 0.3 s                     | 1     | awaited     |
      | heartbeat, 0.6 s, heartbeat                 | 1     | heard again |
      | heartbeat, 0.6 s, heartbeat, 0.6 s          | 2     | awaited     |
      | heartbeat, 0.4 s, order, 0.4 s              | 0     | not awaited |
      | heartbeat, 5 s pause, 0.3 s                 | 0     | not awaited |
      | infrequent heartbeat, 8 s                   | 0     | not awaited |
      | infrequent heartbeat, 9 s                   | 1     | awaited     |

  # Guards against one silent direction between two nodes, of which only the other node knows.
  Scenario Outline: after <events>, node a has been told <count> times that node b does not hear it
    Given a node a that knows the address of node b
    When node a observes <events>
    Then node a has been told <count> times that node b does not hear it

    Examples: a new connection needs a moment until node b hears node a again
      | events                                                          | count |
      | heartbeat, heartbeat                                            | 0     |
      | heartbeat, deaf heartbeat                                       | 1     |
      | heartbeat, deaf heartbeat, 0.3 s, deaf heartbeat                | 1     |
      | heartbeat, deaf heartbeat, 0.9 s, deaf heartbeat, 0.9 s, deaf heartbeat | 2 |
      | heartbeat, deaf heartbeat, 0.3 s, heartbeat                     | 1     |

  Scenario Outline: after <events>, node a says that it hears node b <or not>
    Given a node a that knows the address of node b
    When node a observes <events>
    Then node a says that it hears node b <or not>

    Examples: a node that was never heard is not missed
      | events                      | or not |
      | nothing                     | yes    |
      | heartbeat                   | yes    |
      | heartbeat, 1.2 s            | no     |
      | heartbeat, 1.2 s, heartbeat | yes    |

  Scenario: a heartbeat passes on the addresses of other nodes
    Given a node a that knows the address of node b
    When a heartbeat of node b to node a contains the address of node c
    Then node a sends heartbeats to 2 addresses

  Scenario Outline: with <nodes> other nodes a node sends at most <limit> heartbeats per second
    Given a node a that gets heartbeats from <nodes> other nodes
    Then node a sends at most <limit> heartbeats per second

    Examples: the interval grows with the fleet
      | nodes | limit |
      | 6     | 20    |
      | 80    | 80    |
      | 389   | 80    |

  # Guards against a storm of heartbeats when the links of a large fleet fall silent at once.
  Scenario Outline: with <nodes> other nodes, of which many are silent, a node sends at most <limit> heartbeats per second
    Given a node a that gets heartbeats from <nodes> other nodes
    Then node a sends at most <limit> heartbeats per second while it tries silent nodes

    Examples: four times as many as usual
      | nodes | limit |
      | 6     | 80    |
      | 80    | 320   |
      | 389   | 320   |

  Scenario Outline: node a has been ready for <own> s and node b is <other>: <owners> own queues
    A queue that moves to a process that has just started loses what its owner knew of the
    upstreams.

    Given a node a that knows the address of node b
    When node a has been ready for <own> s
    And node b is <other>
    Then queues are owned by <owners>

    Examples: owner_settle_time = 5 s
      | own | other         | owners |
      | 9   | ready for 9 s | a, b   |
      | 9   | ready for 1 s | a      |
      | 1   | ready for 9 s | b      |
      | 1   | ready for 1 s | a, b   |
      | 1   | unknown       | a      |

  Scenario: a leaving node owns no queue while another node is ready
    Given a node a that knows the address of node b
    When node a has been ready for 9 s
    And node b is ready for 1 s
    And node a leaves
    Then queues are owned by b

  Scenario Outline: of a node with <own> cores and nodes <peers>, <owners> own queues
    An owner gets the messages of all nodes. On a small node it confirms orders late, and they are
    placed at a second owner, whose calls wait behind those of the first.

    Given a node a with <own> cores and ready nodes <peers>
    Then queues are owned by <owners>

    Examples:
      | own  | peers                                | owners  |
      | 0.52 | b with 0.52, c with 2.15, d with 2.0 | c, d    |
      | 2.15 | b with 0.52, c with 2.15             | a, c    |
      | 1.07 | b with 1.07, c with 0.8              | a, b, c |
      | 0.52 | b with 0.52                          | a, b    |
