Feature: Exchanges that are cancelled while their answer is read
  Cancelling an exchange shuts its connection down, which looks to the reader like an end by the upstream.
  A body without length would then count as whole.

  # Guards against a node's own end of a connection that is taken for the end of the answer (ORDER).
  Scenario Outline: <client> whose answer is sent <framing> fails as cancelled if it is cancelled <position>
    When <client> is cancelled <position> while its answer is sent <framing>
    Then it fails as cancelled, and the upstream does not count as having broken it off

    Examples:
      | client              | framing          | position        |
      | a forwarded request | without a length | before the head |
      | a forwarded request | without a length | within the body |
      | a forwarded request | with a length    | within the body |
      | a forwarded request | in chunks        | within the body |
      | a forwarded stream  | without a length | within the body |
      | a forwarded stream  | in chunks        | within the body |
      | a native call       | without a length | within the body |
      | a native call       | with a length    | within the body |
      | a native call       | in chunks        | within the body |

  # Guards against whole answers that are dropped because their request is cancelled afterwards.
  Scenario Outline: a forwarded request whose whole answer is sent <framing> is answered if it is cancelled afterwards
    When a forwarded request is cancelled behind its whole answer, sent <framing>
    Then it is answered

    Examples:
      | framing       |
      | with a length |
      | in chunks     |
