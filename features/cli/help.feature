Feature: Command line help
  A subcommand is imported when it is used. Without this test only the users of a subcommand would
  notice that its module cannot be imported.

  Scenario: every subcommand prints its help with an example
    When the help of every subcommand is printed
    Then every help text contains an example
