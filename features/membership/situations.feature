Feature: Membership in fixed fault situations
  Each situation has broken an invariant of the view protocol in an earlier version, or would
  break one if a guard of the protocol were missing.

  Scenario Outline: membership handles <situation>
    Then membership keeps its invariants in the situation "<situation>"

    Examples:
      | situation |
      | stale view |
      | new witnesses without release |
      | release withheld from node |
      | accepted release behind relays |
      | restart during outage |
      | restarted witness |
      | minority with platform access |
      | node without witness majority |
      | delayed replies |
      | activation delay |
      | single broken link |
      | node without inbound messages |
      | vm list of earlier vm |
      | lost write response |
      | cut off zone with relays |
      | replacement at other address |
      | planned leave |
      | long platform outage |
      | all nodes replaced |
      | paused node |
      | flap damping |

  Scenario Outline: membership fails without the guard <guard>
    Then membership without the guard "<guard>" fails in the situation "<situation>"

    Examples:
      | guard | situation |
      | epoch check | stale view |
      | release check | release withheld from node |
      | release floor of the view | new witnesses without release |
      | majority of confirmations | node without witness majority |
      | incarnation check of the node | restart during outage |
      | incarnation check of the witness | restarted witness |
      | validity from the send time | delayed replies |
      | sealing by a majority | minority with platform access |
      | activation wait | activation delay |
      | removal by a majority | single broken link |
      | lag of the VM list | vm list of earlier vm |
      | read-back of a view write | lost write response |
      | remaining validity of a relay | cut off zone with relays |

  Scenario: every guard is covered by a situation
    Then the membership feature lists a situation for every guard

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
      | mistake           | value                                                    |
      | an unknown field  | {"epoch":1,"members":[],"witnesses":[],"format":1,"x":1} |
      | an unknown format | {"epoch":1,"members":[],"witnesses":[],"format":2}       |
      | a wrong type      | {"epoch":"1","members":[],"witnesses":[],"format":1}     |
