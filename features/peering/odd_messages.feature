Feature: Messages of other nodes that are odd
  A message that cannot be read, or whose numbers no time or message holds, must be refused as such
  and never raise where it is used.

  # Guards against arithmetic with times that no timedelta holds, in the thread of the messages.
  Scenario Outline: a message <kind> with <oddity> is <result>
    When a message <kind> with <oddity> is decoded
    Then the message of the peer is <result>

    Examples:
      | kind                    | oddity                               | result  |
      | fleet.heartbeat         | nothing odd                          | decoded |
      | fleet.heartbeat         | ready_for_ms 86400000000             | decoded |
      | fleet.heartbeat         | ready_for_ms 18446744073709551615    | refused |
      | fleet.heartbeat         | interval_ms 18446744073709551615     | refused |
      | fleet.heartbeat         | interval_ms -9223372036854775808     | refused |
      | fleet.heartbeat         | cpu_cores NaN                        | refused |
      | fleet.heartbeat         | cpu_cores Infinity                   | refused |
      | fleet.heartbeat         | configuration_version -1             | refused |
      | fleet.heartbeat         | directory_revision 18446744073709551615 | refused |
      | fleet.heartbeat         | reports of an infinite pace          | refused |
      | fleet.heartbeat         | reports of a pace that is none       | refused |
      | fleet.heartbeat         | reports of an endless silence        | refused |
      | fleet.state-wanted      | known_version -1                     | refused |
      | fleet.state-given       | revision 18446744073709551615        | refused |
      | changefeed.progress     | nothing odd                          | decoded |
      | changefeed.progress     | revision 18446744073709551615        | refused |
      | changefeed.progress     | previous -1                          | refused |
      | batching.pieces-wanted  | nothing odd                          | decoded |
      | batching.pieces-wanted  | due_ms -200                          | decoded |
      | batching.pieces-wanted  | due_ms 18446744073709551615          | refused |
      | batching.pieces-wanted  | remaining_ms -9223372036854775808    | refused |
      | batching.pieces-queued  | wait_ms 18446744073709551615         | refused |
      | batching.pieces-made    | retry_after_ms 18446744073709551615  | refused |

  # Guards against nesting that ends the thread of the messages with RecursionError.
  Scenario Outline: a message <kind> with <levels> nested arrays behind its fields is refused
    When a message <kind> with <levels> nested arrays behind its fields is received
    Then the message of the peer is refused

    Examples:
      | kind                    | levels |
      | fleet.heartbeat         | 3000   |
      | fleet.heartbeat         | 200000 |
      | changefeed.progress     | 3000   |
      | batching.pieces-made    | 200000 |

  Scenario Outline: any message <kind> is decoded within the documented ranges or refused
    Then any message <kind> is decoded within the documented ranges or refused

    Examples:
      | kind                      |
      | fleet.heartbeat           |
      | fleet.state-wanted        |
      | fleet.state-given         |
      | changefeed.progress       |
      | batching.pieces-wanted    |
      | batching.pieces-queued    |
      | batching.pieces-begun     |
      | batching.pieces-made      |
      | batching.pieces-dropped   |
      | batching.pieces-returned  |
      | batching.results-released |

  Scenario: any frame is decoded or refused
    Then any frame is decoded or refused

  # Guards against a connection to an address that is none, which ended the thread of the messages.
  Scenario Outline: a node registered or named at <address> is <result> as a peer
    When a fleet learns the peer address <address>
    Then the fleet has <result> it as a peer

    Examples:
      | address               | result |
      | "10.1.0.42:7740"      | taken  |
      | "[fd00::7]:7740"      | taken  |
      | ""                    | left   |
      | "10.1.0.42"           | left   |
      | "10.1.0.42:0"         | left   |
      | "10.1.0.42:99999"     | left   |
      | "10.1.0.42:²"         | left   |
      | "a\u0000b:7740"       | left   |
      | "a b:7740"            | left   |
      | "a;b:7740"            | left   |
