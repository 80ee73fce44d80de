Feature: Messages between nodes
  A message that is not understood, or comes from a stranger, must not reach a decision core.

  Scenario Outline: a frame with <fault> is refused
    When peering decodes a frame with <fault>
    Then peering refuses it because <reason>

    Examples:
      | fault              | reason                            |
      | random bytes       | frame is malformed                |
      | a later version    | protocol version 2 is not support |
      | an unknown kind    | message kind 'test.none' is unkno |
      | an unknown field   | message 'test.hello' is malformed |
      | a wrong field type | message 'test.hello' is malformed |

  Scenario Outline: a node with <keys> sends a message
    When peering sends a message from a node with <keys>
    Then peering delivers <count> message

    Examples:
      | keys           | count |
      | the fleet keys | 1     |
      | other keys     | 0     |
      | no keys        | 0     |

  Scenario Outline: <peers> peers known by address alone get all of <count> messages each
    Links that are closed between messages lose what they still hold, and peers count as lost.

    When peering sends <count> messages to each of <peers> addresses, with pauses
    Then each address has got <count> messages

    Examples:
      | peers | count |
      | 6     | 5     |
      | 40    | 5     |
