Feature: Command line help
  Subcommands are imported on first use, so a module that cannot be imported would fail only when a
  user runs its subcommand.

  Scenario: every subcommand prints its help with an example
    When cli help of every subcommand is printed
    Then cli every help text has an example
