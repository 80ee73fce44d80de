Feature: Commands to upstreams
  An upstream that checks fencing numbers must execute only the commands of the newest sender.

  Scenario Outline: a command with fencing number <second> after <first> is <outcome>
    # Guards against a superseded node that still places models.
    Given an upstream engine that <checks> fencing numbers
    When two commands load adapters with the fencing numbers <first> and <second>
    Then the second adapter command is <outcome>

    Examples:
      | checks  | first | second | outcome |
      | checks  | 5     | 6      | done    |
      | checks  | 5     | 5      | done    |
      | checks  | 5     | 4      | refused |
      | ignores | 5     | 4      | done    |

  Scenario: commands change what an engine reports
    # Guards against a report that does not show the effect of a command.
    Given an upstream engine that checks fencing numbers
    When commands load a model and an adapter, and set a version and a role
    Then the upstream engine reports the model, adapter, version and role
    And the upstream engine drains and resumes on command

  Scenario: a node that may not act sends no commands
    # Guards against commands from a node whose confirmation has expired.
    Given an upstream engine that ignores fencing numbers
    And the upstream client may not send any more
    When two commands load adapters with the fencing numbers 1 and 2
    Then the second adapter command is not executed
