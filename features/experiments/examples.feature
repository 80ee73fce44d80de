Feature: Examples of profiles
  An example that the system refuses would fail each new user's first attempt.

  Scenario Outline: the examples of <profile> are up to date and accepted
    When experiments examples of <profile> are rendered
    Then experiments examples are the committed files
    And experiments example release note is valid and adds <upstreams> upstreams
    And experiments example settings of <nodes> nodes are valid and name each other

    Examples:
      | profile      | upstreams | nodes |
      | paramo       | 34        | 7     |
      | puzzle-guild | 27        | 6     |
