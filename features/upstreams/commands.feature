Feature: Commands to upstreams
  Only the newest sender of commands may be obeyed where an upstream checks.

  Scenario Outline: upstreams command with fencing number <second> after <first>
    # Guards against a superseded node that still places models.
    Given upstreams an engine that <checks> fencing numbers
    When upstreams an adapter is loaded with the fencing numbers <first> and <second>
    Then upstreams the second command is <outcome>

    Examples:
      | checks  | first | second | outcome |
      | checks  | 5     | 6      | done    |
      | checks  | 5     | 5      | done    |
      | checks  | 5     | 4      | refused |
      | ignores | 5     | 4      | done    |

  Scenario: upstreams commands change what an engine reports
    # Guards against commands and reports that do not fit each other.
    Given upstreams an engine that checks fencing numbers
    When upstreams a model, an adapter, a version and a role are commanded
    Then upstreams the engine reports all of them
    And upstreams the engine drains and resumes

  Scenario: upstreams commands are not sent by a node that may not act
    # Guards against commands of a node that is no longer confirmed.
    Given upstreams an engine that ignores fencing numbers
    And upstreams the node may not send any more
    When upstreams an adapter is loaded with the fencing numbers 1 and 2
    Then upstreams the second command is not executed
