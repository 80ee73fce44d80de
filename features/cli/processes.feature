Feature: Processes started from the command line
  Guards against processes that do not start, find each other or stop although the tests of their
  parts pass.

  Scenario: nodes join, apply a release note, answer requests and leave on a signal
    Given cli stand-ins of puzzle-guild
    And cli 3 nodes from settings files
    When cli runs "release accept NOTE"
    Then cli exit status is SUCCESS
    And cli output has "accepted: note 'initial' is revision 1"
    When cli runs "release accept NOTE"
    Then cli exit status is SUCCESS
    And cli output has "by an earlier submission"
    And cli every node reports revision 1 in time
    And cli a pipeline request through each node is answered
    When cli node 3 gets SIGHUP
    And cli node 3 gets SIGTERM
    Then cli node 3 ends with SUCCESS
    And cli node 3 is no longer a member
    When cli node 2 gets SIGTERM
    And cli node 2 gets SIGTERM
    Then cli node 2 ends with INTERRUPTED

  Scenario: mistakes and conflicts of release notes have different exit statuses
    Given cli stand-ins of puzzle-guild
    And cli 1 nodes from settings files
    When cli runs "release accept NOTE"
    Then cli exit status is SUCCESS
    Given cli file
      """
      id: second
      withdrawn:
        upstreams: [encode-99]
      changed:
        teams: [{id: models, limits: {concurrency: 0}}]
      """
    When cli runs "release accept FILE"
    Then cli exit status is INVALID_DOCUMENT
    And cli error output is the lines
      | line | key                                 | text                    |
      | 3    | withdrawn.upstreams[0]              | there is no 'encode-99' |
      | 5    | changed.teams[0].limits.concurrency | above 0, found 0        |
    When cli runs "release check FILE"
    Then cli exit status is INVALID_DOCUMENT
    Given cli file
      """
      id: initial
      withdrawn:
        upstreams: [encode-1]
      """
    When cli runs "release accept FILE"
    Then cli exit status is CONFLICT
    And cli output has "conflict:"

  Scenario Outline: an unreachable node is reported by <command>
    Given cli node address where nothing listens
    When cli runs "<command>"
    Then cli exit status is UNREACHABLE

    Examples:
      | command                                      |
      | release status                               |
      | release log                                  |
      | release accept examples/paramo/release.yaml  |
      | status                                       |

  Scenario: an emulated upstream serves until it gets a signal
    Given cli stand-in "stand-in upstream service --operation pay --service-ms 1"
    Then cli stand-in answers at the address that it prints
