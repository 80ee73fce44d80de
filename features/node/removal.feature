Feature: Removed members as reported to limits
  A process that was replaced without a planned leave may still occupy upstreams, so its permits
  must be quarantined.

  Scenario Outline: a member that <change> counts as removed: <removed>
    When the node's view changes because a member <change>
    Then the event for limits reports a removed member: <removed>

    Examples:
      | change                           | removed |
      | joins                            | no      |
      | leaves as planned                | no      |
      | fails                            | yes     |
      | is replaced                      | yes     |
      | is replaced and leaves           | yes     |
      | joins and fails in between       | yes     |
