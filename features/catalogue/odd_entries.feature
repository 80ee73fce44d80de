Feature: Entries of the store that no decoder and no handler expects
  Guards against the second report of the incident LOST: one odd entry ended the thread that follows the store, or made a peer
  drop the changes beside it for good. An odd entry costs that entry only. It names no upstream, node or configuration to use.

  Scenario Outline: <carrier>, <step> one entry raises <error>: the entries beside it are applied
    Given a node that lists upstreams u1 and u2, where <step> an odd entry raises <error>
    When u1 changes, servers/u2 turns odd and u3 is added, which the node learns by <carrier>
    Then the node has the changed u1 and u3, but not u2
    And the node has revision 6
    And one log line and one count of unreadable entries name servers/u2 and its revision
    When servers/u2 is good again
    Then the node has the changed u1, u2 and u3

    Examples: every carrier
      | carrier                 | step     | error           |
      | a listing               | decoding | RecursionError  |
      | a batch of changes      | decoding | RecursionError  |
      | a message of a watcher  | decoding | RecursionError  |
      | the state of a peer     | decoding | RecursionError  |
      | a listing               | applying | KeyError        |
      | a batch of changes      | applying | KeyError        |
      | a message of a watcher  | applying | KeyError        |
      | the state of a peer     | applying | KeyError        |

    Examples: every error
      | carrier                 | step     | error           |
      | a batch of changes      | decoding | OverflowError   |
      | a batch of changes      | decoding | MemoryError     |
      | a batch of changes      | decoding | UnreadableValue |
      | a listing               | decoding | UnreadableValue |

  Scenario Outline: <key> turns odd (<step>): what was in force before stays in force
    Given a node that lists upstreams u1 and u2, where <step> an odd entry raises <error>
    When <key> turns odd, and u3 is added in the same batch
    Then the node has configuration 1, and u1, u2 and u3
    And the node would send a peer configuration 1
    When configuration 3 is written
    Then the node has configuration 3

    Examples:
      | key        | step     | error          |
      | op/config  | decoding | RecursionError |
      | op/config  | decoding | OverflowError  |
      | op/config  | applying | OverflowError  |
      | nodes/b    | decoding | RecursionError |
      | other/b    | decoding | RecursionError |

  Scenario Outline: an upstream that turns odd is not kept as one that may have lapsed, by <carrier>
    # Its registration is there, and names no upstream.
    Given a node that lists upstreams u1 and u2, where decoding an odd entry raises UnreadableValue
    When the store was away for a moment
    And u1 changes, servers/u2 turns odd and u3 is added, which the node learns by <carrier>
    Then the node has the changed u1 and u3, but not u2

    Examples:
      | carrier            |
      | a listing          |
      | a batch of changes |

  Scenario: an odd entry is logged once for each revision, however often it is read
    Given a node that lists upstreams u1 and u2, where decoding an odd entry raises RecursionError
    When the node reads a listing with an odd servers/u2 of revision 5 5 times
    Then one log line and one count of unreadable entries name servers/u2 and its revision
    When servers/u2 is removed
    And the node reads a listing with an odd servers/u2 of revision 8 5 times
    Then the log lines that name servers/u2 have the revisions 5, 8

  Scenario Outline: the registration of a node with the peer address <address> is left out
    Given a node that lists upstreams u1 and u2, where decoding an odd entry raises RecursionError
    When nodes/c registers with the peer address <address>
    Then the node knows no further peer, and one log line names nodes/c

    Examples:
      | address            |
      | nowhere            |
      | 10.0.0.1:          |
      | 10.0.0.1:0         |
      | 10.0.0.1:99999     |
      | 10.0.0.1:²         |
      | 10.0.0.1:-1        |
      | 10.0.0.1:5 NUL     |
      | tcp://10.0.0.1:5   |
      | a blank.example:5  |
      | *:5                |
      | :5                 |
      | LONG:5             |
