Feature: Emulated upstreams of a soak
  A fault that an upstream does not show on the wire is one that a soak would miss.

  Scenario Outline: an upstream with "<behaviour>" sends <bytes> and <ending>
    Given an emulated upstream with "<behaviour>"
    When it gets a <kind> request on a connection that stays open
    Then it sends <bytes> and <ending>

    Examples:
      | behaviour          | kind   | bytes                     | ending                    |
      | good               | plain  | an answer                 | keeps the connection open |
      | good               | stream | a stream                  | keeps the connection open |
      | leaving            | plain  | an answer that it leaves  | ends the connection       |
      | leaving            | stage  | results and that it leaves | ends the connection      |
      | full               | plain  | a refusal                 | keeps the connection open |
      | hold off: 1.5      | plain  | a refusal for 1.5 s       | keeps the connection open |
      | hold off: 1.5      | stage  | a refusal for 1.5 s       | keeps the connection open |
      | hold off: date     | plain  | a refusal until a date    | keeps the connection open |
      | hold off: twice    | plain  | a refusal with two times  | keeps the connection open |
      | hold off:          | plain  | a refusal                 | keeps the connection open |
      | head cut: 20       | plain  | 20 bytes of a head        | ends the connection       |
      | head cut: 500      | plain  | a head without its end    | ends the connection       |
      | head reset: 20     | plain  | 20 bytes of a head        | resets the connection     |
      | cut off            | plain  | a part of a body          | ends the connection       |
      | body reset         | plain  | an answer without 4 bytes | resets the connection     |
      | answer again       | plain  | two answers               | keeps the connection open |
      | refusal again      | plain  | an answer and a refusal   | keeps the connection open |
      | foreign answer     | plain  | an answer to another id   | keeps the connection open |
      | unframed           | plain  | an answer without length  | ends the connection       |
      | unframed reset     | plain  | an answer without length and its last 4 bytes | resets the connection |
      | pause: 0.2         | stream | a stream                  | keeps the connection open |
      | breaks             | stream | two events and a half     | ends the connection       |
      | error after events | stream | two events                | ends the connection       |
      | error after events | resumed stream | an error          | keeps the connection open |
      | not HTTP           | plain  | bytes that are no answer  | ends the connection       |
