Feature: Messages between nodes
  A message that cannot be decoded, or whose sender has none of the allowed keys, must not reach a
  decision core.

  Scenario Outline: a frame with <fault> is refused
    When the peering codec decodes a frame with <fault>
    Then the peering codec refuses the frame because <reason>

    Examples:
      | fault              | reason                            |
      | random bytes       | frame is malformed                |
      | a later version    | protocol version 2 is not support |
      | an unknown kind    | message kind 'test.none' is unkno |
      | an unknown field   | message 'test.hello' is malformed |
      | a wrong field type | message 'test.hello' is malformed |
      | deep nesting       | message 'test.open' is malformed: |

  # Guards against a node that gets no messages any more after one that its decoder did not expect (LOST).
  Scenario Outline: a node goes on receiving after a frame with <fault>
    When a frame with <fault> and then a message are sent to a node
    Then the frame is refused and the message is delivered

    Examples:
      | fault        |
      | random bytes |
      | deep nesting |

  Scenario Outline: <count> message is delivered from a node with <keys>
    When a node with <keys> sends a message to a node with the fleet keys
    Then <count> message is delivered

    Examples:
      | keys           | count |
      | the fleet keys | 1     |
      | other keys     | 0     |
      | no keys        | 0     |

  # Guards against nodes that stay lost to each other although new connections between them work.
  Scenario: messages arrive again once the link of a lost peer is replaced
    Given node a that sends messages to node b over a link
    When the link silences its open connections
    Then no message of node a reaches node b
    When node a replaces its link to node b
    Then messages of node a reach node b

  # Guards against a link on which nothing is acknowledged, but that stays open.
  Scenario: messages arrive again after the other side of a connection has stopped reading
    Given node a that sends messages to node b over a link
    When the other side of the open connection stops reading
    Then messages of node a reach node b

  Scenario Outline: all <count> messages to each of <peers> addresses are delivered
    Guards against links that are closed between messages: they drop queued messages, and peers are
    considered lost.

    When a node sends <count> messages to each of <peers> addresses, with pauses
    Then each address has received <count> messages

    Examples:
      | peers | count |
      | 6     | 5     |
      | 40    | 5     |
