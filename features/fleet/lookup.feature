Feature: Nodes that look-up answers name
  Callers open new connections only to nodes that an answer names. A node that was killed, has ended
  or was removed may be named for contact time + 3 s; callers keep answers for some seconds more.

  # Guards against answers that name lost nodes: at a large fleet, heartbeats are seconds apart.
  Scenario Outline: of <nodes> nodes, no lost one is named any more 7 s after <event>
    Given a node a with a contact time of 4 s and <nodes> other nodes
    When <lost> of them are lost by <event>
    And node a answers look-ups for 12 s
    Then a lost node was named for at most 7 s
    And all other nodes are named all the time

    Examples: herds that are killed, nodes that are taken away
      | nodes | lost | event                                 |
      | 6     | 4    | a kill                                |
      | 78    | 47   | a kill                                |
      | 78    | 77   | a kill                                |
      | 195   | 117  | a kill                                |
      | 300   | 180  | a kill                                |
      | 300   | 1    | a kill                                |
      | 300   | 30   | a stop with notice                    |
      | 195   | 117  | a kill, and some addresses come again |
      | 300   | 100  | a kill just after more nodes joined   |

  # Guards against answers that name lost nodes because this process could not hear of their end.
  Scenario Outline: after a pause of <pause> s, node a of <nodes> nodes names no node that was killed meanwhile
    Given a node a with a contact time of 4 s and <nodes> other nodes
    When node a stands still for <pause> s, while <lost> of them are killed
    And node a answers look-ups for 12 s
    Then from 4 s after its pause on, node a names no lost node
    And all other nodes are named all the time

    Examples:
      | nodes | lost | pause |
      | 6     | 3    | 5     |
      | 78    | 40   | 5     |
      | 300   | 150  | 5     |
      | 300   | 150  | 15    |

  # Guards against a cut in one direction: a node that is heard runs, one that is not may be lost.
  Scenario Outline: while node a <cut>, it names <named>
    Given a node a with a contact time of 4 s and 78 other nodes
    When node a <cut> for 10 s
    Then node a names <named>
    When node a hears all nodes again
    Then node a names all nodes

    Examples: a node that hears nobody cannot tell a cut from the loss of all others
      | cut                                 | named                    |
      | hears no other node                 | only itself              |
      | hears no node of another zone       | the nodes of its zone    |
      | is heard by no node, but hears them | all nodes                |

  Scenario: without a bound, a node is named as long as it counts as alive
    Given a node a without a contact time and 300 other nodes
    When 1 of them are lost by a kill
    And node a answers look-ups for 12 s
    Then a lost node was named for at least 7 s
