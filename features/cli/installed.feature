Feature: The installed command
  README and the operations guide name the command chervilrack. Setting up the environment must
  install it, or whoever follows them finds no such command.

  Scenario: the environment that "make setup" creates has the command
    When the installed command chervilrack is run with "--help" outside the repository
    Then it ends with status 0 and names the subcommand "explain"
