Feature: Processes started from the command line
  A deployment consists of these processes. Tests of their parts do not show that the processes
  start, find each other and stop.

  Scenario: nodes join, apply a release note, answer requests and leave on a signal
    Given the platform and upstream stand-ins of profile puzzle-guild
    And 3 node processes with settings files
    When "chervilrack release accept NOTE" is run
    Then the exit status is SUCCESS
    And the output contains "accepted: note 'initial' is revision 1"
    When "chervilrack release accept NOTE" is run
    Then the exit status is SUCCESS
    And the output contains "by an earlier submission"
    And every node reports release revision 1 in time
    And a pipeline request through each node is answered
    When node process 3 receives SIGHUP
    And node process 3 receives SIGTERM
    Then node process 3 exits with status SUCCESS
    And node process 3 is no longer a member
    When node process 2 receives SIGTERM
    And node process 2 receives SIGTERM
    Then node process 2 exits with status INTERRUPTED

  Scenario: mistakes in release notes and conflicts between them set the exit status
    Given the platform and upstream stand-ins of profile puzzle-guild
    And 1 node processes with settings files
    When "chervilrack release accept NOTE" is run
    Then the exit status is SUCCESS
    Given a release note file
      """
      id: second
      withdrawn:
        upstreams: [encode-99]
      changed:
        teams: [{id: models, limits: {concurrency: 0}}]
      """
    When "chervilrack release accept FILE" is run
    Then the exit status is INVALID_DOCUMENT
    And the error output has exactly the lines
      | line | key                                 | text                    |
      | 3    | withdrawn.upstreams[0]              | there is no 'encode-99' |
      | 5    | changed.teams[0].limits.concurrency | above 0, found 0        |
    When "chervilrack release check FILE" is run
    Then the exit status is INVALID_DOCUMENT
    Given a release note file
      """
      id: initial
      withdrawn:
        upstreams: [encode-1]
      """
    When "chervilrack release accept FILE" is run
    Then the exit status is CONFLICT
    And the output contains "conflict:"

  Scenario Outline: the exit status of <command> shows that the node is unreachable
    Given a node address on which no process listens
    When "chervilrack <command>" is run
    Then the exit status is UNREACHABLE

    Examples:
      | command                                      |
      | release status                               |
      | release log                                  |
      | release accept examples/paramo/release.yaml  |
      | status                                       |

  Scenario: an upstream stand-in serves until it receives a signal
    Given a stand-in process started by "chervilrack stand-in upstream service --operation pay --service-ms 1"
    Then the stand-in process answers at the address that it prints
