Feature: Removed members as limits see them
  A process that was replaced without a planned leave may still occupy upstreams; its permits
  must be quarantined.

  Scenario Outline: a member that <change> counts as removed: <removed>
    When node view changes because a member <change>
    Then node tells limits that a member was removed: <removed>

    Examples:
      | change                           | removed |
      | joins                            | no      |
      | leaves as planned                | no      |
      | fails                            | yes     |
      | is replaced                      | yes     |
      | is replaced and leaves           | yes     |
      | joins and fails in between       | yes     |
