Feature: The change feed of the store
  If every node watches the store, each change and each renewal costs a call for every node, so that
  the calls grow with the fleet. Two nodes of each zone watch and pass the changes on. A change must
  take effect everywhere within two seconds even when they vanish.

  Scenario Outline: in a zone with <members> the watchers are <watchers>
    Given a node a in a zone with <members>
    Then the watchers are <watchers> of the zone's nodes
    And node a <passes> changes on if it watches

    Examples: a node's size follows its name, "leaving" nodes and much smaller ones do not watch
      | members                                     | watchers | passes  |
      | a                                           | a        | does not pass |
      | a, b, c, d                                  | a        | does not pass |
      | a, b, c, d, e                               | two      | passes  |
      | a, b, c, d, e, f, g, h                      | two      | passes  |
      | a 0.5, b 2, c 2, d 0.9, e 0.5, f 0.5        | b, c     | does not pass |
      | a, b leaving, c leaving, d leaving, e       | a, e     | passes  |
      | a leaving, b, c leaving, d leaving, e       | b, e     | does not pass |

  Scenario Outline: after <events> node a <state>
    Given a node a that follows the watchers of its zone at revision 10
    When node a observes, of the feed, <events>
    Then node a <state>

    Examples: silence, a lost message, and a zone whose watchers are all behind
      | events                                     | state                        |
      | nothing                                    | watches from revision 10     |
      | keepalive 10                               | is current at revision 10    |
      | keepalive 10, 1.5 s                        | is current at revision 10    |
      | keepalive 10, 1.7 s                        | watches from revision 10     |
      | keepalive 10 of age 1.0, 0.5 s             | is current at revision 10    |
      | keepalive 10 of age 1.0, 0.7 s             | watches from revision 10     |
      | keepalive 10, keepalive 10 of age 1.5, 0.5 s | is current at revision 10  |
      | keepalive 10 of age 1.5, keepalive 10, 0.5 s | is current at revision 10  |
      | changes 10 to 12                           | is current at revision 12    |
      | changes 10 to 12, changes 10 to 12         | is current at revision 12    |
      | changes 8 to 12                            | is current at revision 12    |
      | changes 11 to 12                           | watches from revision 10     |
      | keepalive 12                               | watches from revision 10     |
      | changes 11 to 12, own watch 12             | is current at revision 12    |
      | changes 10 to 12, keepalive 11             | is current at revision 12    |
      | keepalive 9                                | is current at revision 10    |
      | large changes 10 to 12                     | watches from revision 10     |
      | large changes 10 to 12                     | lists before it watches      |
      | large changes 10 to 12, keepalive 12       | lists before it watches      |
      | large changes 10 to 12, changes 12 to 13   | lists before it watches      |
      | large changes 10 to 12, own watch 12, changes 13 to 14 | watches without a listing |
      | changes 11 to 12                           | watches without a listing    |
      | keepalive 12                               | watches without a listing    |
      | keepalive 10, other zone 12                | is current at revision 10    |
      | keepalive 10, other zone 12, 0.4 s, keepalive 10, 0.3 s   | watches from revision 10 |
      | keepalive 10, other zone 12, 0.4 s, changes 10 to 12, 0.3 s | is current at revision 12 |

  # Guards against time limits in series that each take the whole bound (CONFIG, DRAIN).
  Scenario Outline: with a bound of <bound> s, the time limits of the change feed keep it in sum
    Then with a bound of <bound> s, a relay's age limit and the own call last as long
    And an idle watch is answered before the age limit, and its call fails within the bound

    Examples:
      | bound |
      | 1     |
      | 2     |
      | 3     |
      | 4     |

  # Guards against a relay that passes on messages, but nothing new, while the store does not answer it (CONFIG).
  Scenario Outline: <nodes> nodes in <zones> zones learn a change within <bound> s with <count> watchers of each zone <how>
    Given <nodes> nodes in <zones> zones that follow the store, with a bound of <bound> s
    When <count> watchers of each zone are <how>, and the store changes right after its last answer to one of them
    Then every other node that is alive learns the change within <bound> s

    Examples: of 8 seeds each; in zones of fewer than five nodes, all nodes watch
      | nodes | zones | bound | count | how         |
      | 1     | 1     | 2     | 0     | silent      |
      | 4     | 1     | 2     | 1     | silent      |
      | 5     | 1     | 2     | 1     | silent      |
      | 5     | 1     | 2     | 2     | silent      |
      | 6     | 1     | 2     | 2     | silent      |
      | 6     | 1     | 2     | 2     | turned away |
      | 6     | 1     | 2     | 2     | frozen      |
      | 6     | 1     | 2     | 2     | killed      |
      | 12    | 2     | 2     | 2     | silent      |
      | 18    | 3     | 2     | 2     | frozen      |
      | 30    | 1     | 2     | 2     | silent      |
      | 30    | 1     | 2     | 2     | killed      |
      | 30    | 1     | 3     | 2     | silent      |
      | 60    | 2     | 4     | 2     | turned away |
      | 60    | 2     | 4     | 2     | silent      |

  Scenario Outline: <nodes> nodes in <zones> zones learn every change within <late> s when <event>
    Given <nodes> nodes in <zones> zones that follow the store
    When the store changes every 0.7 s for 20 s and <event>
    Then every live node learned every change within <late> s, in order
    And the nodes made at most <calls> watch calls per node and second

    Examples: today's calls are 0.71 for renewals and one for each change: 2.1 in all
      | nodes | zones | event                                   | late | calls |
      | 7     | 4     | nothing else happens                    | 0.4  | 2.2   |
      | 30    | 4     | nothing else happens                    | 0.4  | 0.6   |
      | 83    | 4     | nothing else happens                    | 0.4  | 0.25  |
      | 195   | 6     | nothing else happens                    | 0.4  | 0.2   |
      | 390   | 24    | nothing else happens                    | 0.4  | 0.3   |
      | 83    | 4     | all watchers are killed at once         | 1.5  | 2.2   |
      | 195   | 6     | all watchers are killed at once         | 1.5  | 2.2   |
      | 390   | 24    | all watchers are killed at once         | 1.5  | 2.2   |
      | 195   | 6     | one watcher of each zone falls silent   | 0.4  | 0.25  |
      | 195   | 6     | every fifth message is lost             | 1.5  | 0.5   |
      | 195   | 6     | all changes are too large to pass on    | 0.6  | 1.7   |
