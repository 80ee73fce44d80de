Feature: A serving node that stops
  Whatever a node has read gets a final response before its process ends. A request that was sent to
  an upstream is never said not to have run, and one that cannot be completed is not sent.

  Background:
    Given a serving node with stand-ins for the platform

  # Guards against a connection that closes without an answer when the grace period ends (LOST).
  Scenario Outline: an upstream that sends "<script>" has a <kind> request when the node stops: <status>
    Given scripted plain upstreams that send "<script>"
    And the node has 1 s to stop
    When the node stops while an upstream has a <kind> request with a deadline of <deadline> ms
    Then the caller gets status <status> and is told that it has maybe run
    And the log names <bound> as the bound that ended the request

    Examples:
      | script                  | kind    | deadline | status | bound                         |
      | silence                 | plain   | 8000     | 504    | "7 the end of the node's stop" |
      | silence                 | look-up | 8000     | 504    | "7 the end of the node's stop" |
      | silence                 | plain   | 600      | 504    | "1 the caller's deadline"      |
      | pause of 3 s, answer    | plain   | 8000     | 504    | "7 the end of the node's stop" |
      | half an answer, silence | plain   | 8000     | 504    | "7 the end of the node's stop" |

    # Guards against the node's own end of a connection that is taken for the end of a body without length.
    Examples: an answer that ends with its connection
      | script                          | kind    | deadline | status | bound                         |
      | answer without length, silence  | plain   | 8000     | 504    | "7 the end of the node's stop" |
      | answer without length, silence  | look-up | 8000     | 504    | "7 the end of the node's stop" |

  # Guards against a stop that cuts requests off although they can end in time.
  Scenario Outline: an upstream that needs 0.3 s has a <kind> request when the node stops, and it is answered
    Given scripted plain upstreams that send "pause of 0.3 s, answer"
    And the node has 4 s to stop
    When the node stops while an upstream has a <kind> request with a deadline of 8000 ms
    Then the caller gets the upstream's answer

    Examples:
      | kind    |
      | plain   |
      | look-up |

  # Guards against late requests that are passed on and then cut, and against needless refusals.
  Scenario Outline: a <kind> request with a deadline of <deadline> ms that arrives during a stop of <grace> s gets <status>
    Given scripted plain upstreams that send "pause of 0.2 s, answer"
    And the node has <grace> s to stop
    When the node begins to stop
    And a <kind> request with a deadline of <deadline> ms arrives
    Then the caller gets status <status> and the connection is closed
    And <count> requests have reached the scripted upstreams

    Examples:
      | kind    | deadline | grace | status | count |
      | plain   | 1500     | 4     | 200    | 1     |
      | look-up | 1500     | 4     | 200    | 1     |
      | plain   | 5000     | 4     | 503    | 0     |
      | plain   | 5000     | 30    | 200    | 1     |
      | stream  | 5000     | 4     | 503    | 0     |

  # Guards against a refusal from which a caller cannot tell that another node will take the request.
  Scenario: a refusal tells which bound decided, and that the caller may try elsewhere at once
    Given scripted plain upstreams that send "silence"
    And the node has 2 s to stop
    When the node begins to stop
    And a plain request with a deadline of 4000 ms arrives
    Then the caller gets status 503 and is told that it has not run
    And the answer says "Retry-After: 0.00"
    And the log has a refusal whose detail matches "this node stops in 1\.\d+ s, and the deadline of the request is in 3\.9\d s"

  # Guards against estimates that nothing updates: the node observes its own requests.
  Scenario: a request with a late deadline is taken if requests of its route usually end in time
    Given scripted plain upstreams that send "answer"
    And the node has 4 s to stop
    When 25 plain requests are answered
    And the node begins to stop
    And a plain request with a deadline of 20000 ms arrives
    Then the caller gets the upstream's answer

  # Guards against a further attempt late in a stop, which nothing would complete.
  Scenario Outline: a first attempt that breaks during a stop of <grace> s: <status> after <count> attempts
    Given two scripted plain upstreams, the first sends "half an answer, pause of 1.2 s, break" and the second "answer"
    And the node has <grace> s to stop
    When the node stops while an upstream has a look-up request with a deadline of 3000 ms
    Then the caller gets status <status> and the connection is closed
    And <count> requests have reached the scripted upstreams

    Examples:
      | grace | status | count |
      | 2     | 502    | 1     |
      | 6     | 200    | 2     |

  # Guards against a stream that looks complete though the stop has cut it off, and against reports
  # to other nodes that its engine has failed.
  Scenario Outline: a stream whose engine sends "<script>" when the node stops ends as <end>
    Given one scripted engine that sends "<script>"
    And the node has 1 s to stop
    When the node stops while an engine has a stream
    Then the caller's stream ends as <end>
    And the scripted upstreams do not count as failed

    Examples:
      | script                                  | end            |
      | silence                                 | error 504      |
      | events 1 to 2, silence                  | cut off        |
      | events 1 to 2, pause of 0.3 s, events 3 to 3 | complete  |
      | unframed events 1 to 2, silence         | cut off        |
      | unframed events 1 to 2, pause of 0.3 s, unframed events 3 to 3 | complete  |

  # Guards against requests that wait for a thread when the node stops, and are read by nobody.
  Scenario: requests that wait for a thread when the node stops are refused, those at upstreams get 504
    Given scripted plain upstreams that send "silence"
    And the node has 8 threads for callers
    And the node has 2 s to stop
    When 8 requests are at the upstreams, 6 more wait for a thread, and the node stops
    Then 8 callers get status 504 and 6 get status 503
    And 8 requests have reached the scripted upstreams

  # Guards against a margin that is too short for many requests in progress.
  Scenario: 200 requests in progress all get a final response
    Given scripted plain upstreams that send "silence"
    And the node has 3 s to stop
    When 200 requests are at the upstreams, 0 more wait for a thread, and the node stops
    Then 200 callers get status 504 and 0 get status 503

  # Guards against final responses that are not written because the stopping thread runs late.
  Scenario: requests in progress get a final response even if the node is late at its stop
    Given scripted plain upstreams that send "silence"
    And the node has 2 s to stop
    And the thread that stops the node is late by 3 s
    When 50 requests are at the upstreams, 0 more wait for a thread, and the node stops
    Then 50 callers get status 504 and 0 get status 503

  # Guards against a kept connection whose next request crosses the close of the connection.
  Scenario Outline: a kept connection whose next request arrives <time> gets <end>
    Given scripted plain upstreams that send "answer"
    And the node has 1 s to stop
    When a kept connection sends its next request <time>
    Then the next request gets <end>

    Examples:
      | time                      | end                 |
      | while the node stops      | the answer, closed  |
      | when the node has left    | status 503, closed  |
      | when the node has stopped | nothing, closed     |

  # Guards against a process that is killed with an open listener, and with requests that nobody read, because one
  # caller does not read its response (LOST).
  Scenario Outline: a node with <grace> s to stop closes its listener in time beside a response that is not read
    Given a node with <grace> s to stop and a request whose response the caller never reads
    When the node leaves
    Then it closes its listener at least <margin> ms before the process may be killed

    Examples:
      | grace | margin |
      | 8     | 200    |
      | 2     | 50     |
