Feature: Calls to upstreams
  An answer must reach only its own request, and "not executed" must be true.

  Scenario Outline: upstreams classify the fault <fault>
    Given upstreams a plain service with the fault <fault>
    When upstreams 3 calls are made with a deadline of <deadline> ms
    Then upstreams the last call is <kind> with executed <executed>

    # Guards against a caller being told "executed: no" about work that may have run.
    Examples:
      | fault        | deadline | kind       | executed |
      | none         | 2000     | answered   | yes      |
      | refuse       | 2000     | refused    | no       |
      | fail         | 2000     | failed     | unknown  |
      | crash        | 2000     | broken     | unknown  |
      | hang         | 100      | timed out  | unknown  |
      | swap_answers | 2000     | mismatched | unknown  |
      | gone         | 2000     | not sent   | no       |

  Scenario Outline: upstreams drop an answer whose <header> is another's
    # Guards against a response of another request or organisation being delivered.
    Given upstreams a server whose answers carry a wrong <header>
    When upstreams 1 calls are made with a deadline of 2000 ms
    Then upstreams the last call is mismatched with executed unknown

    Examples:
      | header         |
      | X-Request-Id   |
      | X-Organisation |
      | X-Attempt-Id   |

  Scenario: upstreams do not believe a refusal that belongs to another request
    # Guards against "executed: no" that was said about something else.
    Given upstreams a server that refuses with a wrong X-Attempt-Id
    When upstreams 1 calls are made with a deadline of 2000 ms
    Then upstreams the last call is mismatched with executed unknown

  Scenario: upstreams keep a second answer on a connection from the next request
    # Guards against a stale response left in a reused connection.
    Given upstreams a plain service with the fault answer_twice
    When upstreams 40 calls are made with a deadline of 2000 ms
    Then upstreams every answered call got its own answer

  Scenario: upstreams send nothing if the node loses its right to act while it connects
    # Guards against a paused or cut-off node that sends after its confirmation has ended.
    Given upstreams a server that answers
    And upstreams the node may not send any more
    When upstreams 1 calls are made with a deadline of 2000 ms
    Then upstreams the last call is cancelled with executed no
    And upstreams the server received no byte

  Scenario Outline: upstreams cancel <what> from another thread
    # Guards against an upstream that goes on working for nobody, and a thread that stays blocked.
    Given upstreams a <what> that would take 30 s
    When upstreams the call is cancelled once it has arrived
    Then upstreams the call ends as cancelled
    And upstreams the upstream records that its client left

    Examples:
      | what          |
      | plain service |
      | token stream  |

  Scenario: upstreams end a call at its deadline although bytes keep coming
    # Guards against a time-out that counts from the last byte instead of the start.
    Given upstreams a server that sends one byte every 50 ms
    When upstreams 1 calls are made with a deadline of 300 ms
    Then upstreams the last call is timed out with executed unknown

  Scenario Outline: upstreams reject the malformed body <body>
    # Guards against an exception or a wrong answer from a body that is no JSON object.
    Given upstreams a server that answers with <body>
    When upstreams 1 calls are made with a deadline of 2000 ms
    Then upstreams the last call is <kind> with executed unknown

    Examples:
      | body             | kind   |
      | [1]              | failed |
      | {"a":            | failed |
      | nothing          | failed |
      | \xff\xfe         | failed |
      | a short body     | broken |
      | a broken chunk   | broken |
      | no HTTP          | broken |

  Scenario: upstreams send the headers of the interface
    # Guards against a renamed or missing header, which upstreams would not match.
    Given upstreams a server that answers
    When upstreams a call with every field is made
    Then upstreams the server received the headers
      | header           | value   |
      | X-Request-Id     | r-1     |
      | X-Attempt-Id     | a-1     |
      | X-Organisation   | guild   |
      | X-Deadline-Ms    | 2000    |
      | X-Priority       | 2       |
      | X-Fencing-Number | 7       |
      | Idempotency-Key  | order-1 |

  Scenario Outline: upstreams verify certificates, <trust>
    # Guards against TLS without verification, which protects from nobody on the path.
    Given upstreams a TLS server whose authority is <trust>
    When upstreams 1 calls are made with a deadline of 2000 ms
    Then upstreams the last call is <kind> with executed <executed>

    Examples:
      | trust   | kind     | executed |
      | trusted | answered | yes      |
      | unknown | not sent | no       |
