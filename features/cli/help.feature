Feature: Command line help
  A subcommand whose module cannot be imported would only be noticed by a user.

  Scenario: every subcommand prints its help with an example
    When cli help of every subcommand is printed
    Then cli every help text has an example
