Feature: Membership in fixed situations
  Each situation has once been, or would be, a way to break an invariant of the view protocol.

  Scenario Outline: membership handles <situation>
    Then membership passes the situation "<situation>"

    Examples:
      | situation |
      | stale view |
      | new witnesses without release |
      | release withheld from node |
      | acceptance behind relays |
      | restart in outage |
      | restarted witness |
      | minority with platform |
      | majority confirms |
      | slow answers |
      | activation waits |
      | one bad link |
      | deaf node |
      | list of earlier vm |
      | lost response |
      | cut off zone with relays |
      | replacement at other address |
      | planned leave |
      | long outage |
      | all nodes replaced |
      | paused node |
      | flap damping |

  Scenario Outline: membership without the <guard> fails
    Then membership without the guard "<guard>" fails the situation "<situation>"

    Examples:
      | guard | situation |
      | epoch check | stale view |
      | release check | release withheld from node |
      | release floor of the view | new witnesses without release |
      | majority of confirmations | majority confirms |
      | incarnation check of the node | restart in outage |
      | incarnation check of the witness | restarted witness |
      | validity from the send time | slow answers |
      | sealing by a majority | minority with platform |
      | activation wait | activation waits |
      | removal by a majority | one bad link |
      | lag of the VM list | list of earlier vm |
      | read-back of a view write | lost response |
      | remaining validity of a relay | cut off zone with relays |

  Scenario: every guard has a situation
    Then membership names a situation for every guard

  Scenario Outline: membership chooses <witnesses> witnesses of <members> members in <zones> zones
    Then membership spreads <witnesses> witnesses of <members> members over <zones> zones

    Examples:
      | members | zones | witnesses |
      | 1       | 1     | 1         |
      | 2       | 2     | 1         |
      | 4       | 2     | 3         |
      | 6       | 3     | 5         |
      | 7       | 4     | 7         |
      | 390     | 24    | 7         |

  Scenario Outline: membership rejects a view with <mistake>
    Then membership rejects the view <value>

    Examples:
      | mistake          | value                                                      |
      | an unknown field | {"epoch":1,"members":[],"witnesses":[],"format":1,"x":1}   |
      | another format   | {"epoch":1,"members":[],"witnesses":[],"format":2}         |
      | a wrong type     | {"epoch":"1","members":[],"witnesses":[],"format":1}       |
