Feature: A serving node with stand-ins for the platform
  Requests of every kind must get the complete answer of the right upstream. Requests that are
  refused must not have been executed.

  Background:
    Given a serving node with stand-ins for the platform

  Scenario Outline: a <kind> request gets the complete answer
    When a caller sends a <kind> request
    Then the caller gets status 200 with "<body>"
    And the upstream got the caller's request unchanged, organisation "bozi" and no key

    Examples:
      | kind           | body             |
      | plain          | answer to order  |
      | chunked        | answer to order  |
      | stream         | 1 2 3 4 5        |
      | staged stream  | 1 2 3 4 5        |

  Scenario: the stages of a request run in order with their inputs, and their results are freed
    When a caller sends a staged stream request
    Then the first stage ran 2 pieces by key and the second 3 pieces with 2 inputs
    And the engine got 3 inputs
    And all 5 results are freed

  Scenario Outline: with an upstream that <behaviour> a <kind> request ends as <status> after <runs> runs
    Given all plain upstreams are "<behaviour>"
    When a caller sends a <kind> request
    Then the caller gets status <status>
    And the plain upstreams ran it <runs> times

    Examples: an order runs at most once, and 503 means that it has not been executed
      | behaviour | kind    | status | runs |
      | full      | plain   | 503    | 0    |
      | fails     | plain   | 500    | 1    |
      | fails     | look-up | 500    | 2    |
      | unsigned  | plain   | 502    | 1    |
      | cut off   | plain   | 502    | 1    |
      | cut off   | look-up | 502    | 2    |

  Scenario: a stream that breaks off is continued by another engine without a gap
    Given of two engines the one in the node's zone breaks streams off after 2 events
    When callers send stream requests until the other engine has continued one
    Then each caller gets the events 1 2 3 4 5 once

  Scenario Outline: a request with <fault> is refused with <status>
    When a caller sends a request with <fault>
    Then the caller gets status <status>
    And no upstream ran anything

    Examples:
      | fault          | status |
      | an unknown key | 401    |
      | no key         | 401    |
      | another path   | 404    |
      | no request id  | 400    |

  Scenario Outline: raw bytes with <fault> are refused and the connection is closed
    When raw bytes with <fault> are sent
    Then the answer is status <status> and the connection is closed
    And no upstream ran anything

    Examples: messages that two HTTP parsers may interpret differently, RFC 9112
      | fault                                    | status |
      | two lengths                              | 400    |
      | a length and a chunked coding            | 400    |
      | a chunk size that is no number           | 400    |
      | a chunk size with a sign                 | 400    |
      | a chunk that is longer than its size     | 400    |
      | a folded field                           | 400    |
      | a space before the colon                 | 400    |
      | a line that ends with LF alone           | 400    |
      | a length with a sign                     | 400    |
      | two host fields                          | 400    |
      | no host field                            | 400    |
      | a coding beside chunked                  | 400    |
      | an absolute target                       | 400    |
      | a line that is no request                | 400    |
      | a method in lower case                   | 400    |
      | a body that is too large                 | 413    |

  Scenario: a deadline that is shorter than the work does not count against the upstreams
    Given all plain upstreams are "late"
    When 6 callers send plain requests with a deadline of 100 ms
    Then no upstream is ejected

  Scenario: requests that exceed their deadline do not count against an upstream that answers others
    When one of two plain upstreams drains
    Then soon 20 plain requests run only at the other one
    When 6 callers send requests that exceed 600 ms while others are answered
    Then no upstream is ejected

  # Guards against a sound look-up that is given up halfway and has no time for a second attempt.
  Scenario: a look-up that takes over half of its time is answered if look-ups usually take long
    When a caller sends 4 look-ups that take 1000 ms, with a deadline of 5000 ms
    And a caller sends 1 look-ups that take 1300 ms, with a deadline of 2200 ms
    Then all look-ups are answered with status 200

  # Guards against a long look-up that is given up halfway, and takes as long at the next upstream.
  Scenario Outline: a look-up that takes <first> at its first upstream, and <next> at the next, ends as <status>
    When a caller sends 4 look-ups that take 500 ms, with a deadline of 5000 ms
    And from now on look-ups take <first> at their first upstream, and <next> at the next
    And a caller sends 1 look-ups that take 0 ms, with a deadline of 4000 ms
    Then the last look-up is answered with status <status>, and ran <runs> times
    And nothing is in progress at any plain upstream

    Examples: look-ups usually take 500 ms, and those that take much longer are tried elsewhere as well
      | first   | next      | status | runs |
      | 600 ms  | 600 ms    | 200    | 1    |
      | 2500 ms | 2500 ms   | 200    | 2    |
      | 3500 ms | 3500 ms   | 200    | 2    |
      | 3500 ms | 10 ms     | 200    | 2    |
      | 2500 ms | a failure | 200    | 2    |
      | 2500 ms | a refusal | 200    | 1    |
      | no time, cut off | 10 ms | 200 | 2   |
      | 4500 ms | 4500 ms   | 504    | 2    |

  # Guards against the start of a later attempt as that of one that was kept.
  Scenario: an attempt that is kept counts with the time since its own start
    When a caller sends 4 look-ups that take 500 ms, with a deadline of 5000 ms
    And from now on look-ups take 3500 ms at their first upstream, and 10 ms at the next
    And a caller sends 1 look-ups that take 0 ms, with a deadline of 4000 ms
    Then a look-up counts as staying longer than before at its upstream

  Scenario: a caller that leaves ends both attempts of its look-up
    When a caller sends 4 look-ups that take 500 ms, with a deadline of 5000 ms
    And from now on look-ups take 3900 ms at their first upstream, and 3900 ms at the next
    And a caller leaves after two upstreams have got its look-up
    Then nothing is in progress at any plain upstream

  Scenario: the stream of a caller that disconnects is cancelled
    Given all engines are "slow"
    When a caller disconnects after the first event of a stream
    Then the engine detects that its connection is closed

  Scenario: a change of the configuration takes effect soon, without a restart
    When the operator removes the key of "bozi"
    Then a plain request is refused with 401 soon

  Scenario: an upstream that drains gets no new requests
    When one of two plain upstreams drains
    Then soon 20 plain requests run only at the other one

  Scenario: look-up, readiness and metrics answer
    Then the look-up returns the node with a lifetime
    And readiness answers 200
    And the metrics count requests by route and outcome

  Scenario: a node that leaves is not ready and completes its requests
    Given all engines are "slow"
    When a stream runs while the node leaves
    Then the stream is complete
    And readiness answers 503

  Scenario: a node that has left refuses requests that still arrive
    The listener stays open until the process ends. A request that was accepted then would be cut
    off.

    When the node has left
    And a caller sends a plain request
    Then the caller gets status 503
    And the plain upstreams ran it 0 times

  Scenario: a node accepts no requests before it knows the upstreams
    Given a node that has received the configuration but no upstreams
    Then that node is not ready and refuses a plain request with 503
    And the reason is "this node knows no upstreams yet"
    When that node receives the upstreams
    Then that node is ready

  Scenario: a request that waits for stages when the node stops is refused
    Given all upstreams of the first stage hang
    And the node has 1.5 s to stop
    When a staged stream request waits while the node leaves
    Then the caller gets status 503 because the node stops

  Scenario: a request that waits for stages is refused even if the node is late at its stop
    # Guards against a connection that is cut off because the stopping thread ran late.
    Given all upstreams of the first stage hang
    And the node has 1.5 s to stop
    And the thread that stops the node is late by 1 s
    When a staged stream request waits while the node leaves
    Then the caller gets status 503 because the node stops

  Scenario: a node that finds its port taken stops what it has started
    Threads that go on keep the process from ending.

    When a second node starts at the callers' port of the first
    Then its start fails and no further thread runs
