Feature: Stand-ins for upstreams
  Tests and soaks judge nodes by what the stand-ins answer, so the stand-ins must not refuse work
  that they can execute.

  Scenario Outline: a caller that sends its requests one after the other needs one slot (<behaviour>, <kind>)
    # Guards against a refusal because the thread of an earlier, answered request is late.
    Given an upstream stand-in that is "<behaviour>" and whose threads pause after "<ending>"
    When a caller sends it 20 <kind> requests one after the other
    Then the stand-in has executed all 20

    Examples: the last bytes of the answers
      | behaviour | kind   | ending          |
      | good      | plain  | answer to order |
      | fails     | plain  | no              |
      | good      | stream | 0\r\n\r\n       |
      | breaks    | stream | id: 3\ndat\r\n  |
