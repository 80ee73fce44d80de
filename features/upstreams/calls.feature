Feature: Calls to upstreams
  An answer may only be delivered to its own request, and a call may only be reported as not executed
  if the upstream has not executed it.

  Scenario Outline: upstream clients classify the fault <fault>
    Given an upstream service with the fault <fault>
    When the upstream client makes 3 calls with a deadline of 20000 ms
    Then the last upstream call is <kind> with executed <executed>

    # Guards against reporting "executed: no" to a caller although the work may have run.
    Examples:
      | fault        | kind       | executed |
      | none         | answered   | yes      |
      | refuse       | refused    | no       |
      | fail         | failed     | unknown  |
      | crash        | broken     | unknown  |
      | swap_answers | mismatched | unknown  |
      | gone         | not sent   | no       |

  Scenario: upstream clients classify the fault hang
    # Guards against a thread that stays blocked, and against a false "executed: no".
    Given an upstream service with the fault hang
    When the upstream client makes calls with a deadline of 100 ms until 3 were sent
    Then the last upstream call is timed out with executed unknown
    And the upstream service has received only calls that were sent

  Scenario Outline: upstream clients drop an answer whose <header> belongs to another request
    # Guards against delivering the answer of another request or organisation.
    Given an upstream server whose answers carry a wrong <header>
    When the upstream client makes 1 calls with a deadline of 20000 ms
    Then the last upstream call is mismatched with executed unknown

    Examples:
      | header         |
      | X-Request-Id   |
      | X-Organisation |
      | X-Attempt-Id   |

  Scenario: upstream clients ignore a refusal that belongs to another request
    # Guards against reporting "executed: no" because of an answer to a different request.
    Given an upstream server that refuses with a wrong X-Attempt-Id
    When the upstream client makes 1 calls with a deadline of 20000 ms
    Then the last upstream call is mismatched with executed unknown

  Scenario: upstream clients do not deliver a second answer on a connection to the next request
    # Guards against reading a stale response from a reused connection.
    Given an upstream service with the fault answer_twice
    When the upstream client makes 40 calls with a deadline of 20000 ms
    Then every answered upstream call got its own answer

  Scenario: upstream clients send nothing if the node loses its right to act while it connects
    # Guards against a paused or partitioned node that sends requests after its confirmation expired.
    Given an upstream server that answers
    And the upstream client may not send any more
    When the upstream client makes 1 calls with a deadline of 20000 ms
    Then the last upstream call is cancelled with executed no
    And the upstream server received no byte

  Scenario Outline: another thread can cancel a call to a <kind>
    # Guards against an upstream that continues cancelled work, and a thread that stays blocked.
    Given an upstream <kind> that takes 30 s
    When another thread cancels the upstream call once it has arrived
    Then the upstream call ends as cancelled
    And the upstream records that its client disconnected

    Examples:
      | kind          |
      | plain service |
      | token stream  |

  Scenario: upstream clients end a call at its deadline although bytes keep coming
    # Guards against a time-out that restarts with every byte.
    Given an upstream server that sends single bytes, 300 of them after the deadline
    When the upstream client makes 1 calls with a deadline of 20000 ms
    Then the last upstream call is timed out with executed unknown

  Scenario Outline: upstream clients reject the malformed body <body>
    # Guards against an exception or a wrong answer because of a body that is not a JSON object.
    Given an upstream server that answers with <body>
    When the upstream client makes 1 calls with a deadline of 20000 ms
    Then the last upstream call is <kind> with executed unknown

    Examples:
      | body             | kind   |
      | [1]              | failed |
      | {"a":            | failed |
      | nothing          | failed |
      | \xff\xfe         | failed |
      | a short body     | broken |
      | a broken chunk   | broken |
      | no HTTP          | broken |

  Scenario: upstream clients send the specified headers
    # Guards against a renamed or missing header, which upstreams would not recognise.
    Given an upstream server that answers
    When the upstream client makes a call with every field
    Then the upstream server received the headers
      | header           | value   |
      | X-Request-Id     | r-1     |
      | X-Attempt-Id     | a-1     |
      | X-Organisation   | guild   |
      | X-Deadline-Ms    | 2000    |
      | X-Priority       | 2       |
      | X-Fencing-Number | 7       |
      | Idempotency-Key  | order-1 |

  Scenario Outline: upstream clients verify certificates, <trust> certificate authority
    # Guards against TLS without certificate verification, which allows a man-in-the-middle attack.
    Given an upstream TLS server whose certificate authority is <trust>
    When the upstream client makes 1 calls with a deadline of 20000 ms
    Then the last upstream call is <kind> with executed <executed>

    Examples:
      | trust   | kind     | executed |
      | trusted | answered | yes      |
      | unknown | not sent | no       |
