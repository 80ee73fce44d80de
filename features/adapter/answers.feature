Feature: Answers of faulty upstreams
  Upstreams write answers late, twice, slowly or only in part. Callers must never get bytes that are
  not their answer, nor an incomplete answer that looks complete, nor "not run" for a request that
  may have run. The scripted upstreams write bytes to their sockets as given.

  Background:
    Given a serving node with stand-ins for the platform

  Scenario Outline: a stream breaks off after 2 events and the next upstream answers with <answer>
    Given scripted engines that first send "events 1 to 2, break" and then "<answer>"
    When a caller reads a stream
    Then the caller gets the events <events> and the stream is <end>

    Examples: a continuation has to continue the events, and its head and errors stay hidden
      | answer                               | events    | end        |
      | events 3 to 5                        | 1 2 3 4 5 | complete   |
      | 103, events 3 to 5                   | 1 2 3 4 5 | complete   |
      | events 3 to 5, foreign answer        | 1 2 3 4 5 | complete   |
      | nothing more                         | 1 2       | complete   |
      | comment, events 3 to 5               | 1 2 3 4 5 | complete   |
      | 500                                  | 1 2       | incomplete |
      | refusal                              | 1 2       | incomplete |
      | refusal of another request           | 1 2       | incomplete |
      | JSON with blank lines                | 1 2       | incomplete |
      | events 1 to 5                        | 1 2       | incomplete |
      | events 2 to 5                        | 1 2       | incomplete |
      | events 4 to 5                        | 1 2       | incomplete |
      | events without ids                   | 1 2       | incomplete |
      | events 3 to 4, break                 | 1 2 3 4   | incomplete |
      | events 3 to 3, foreign answer, break | 1 2 3     | incomplete |

  Scenario Outline: a stream of which an engine sends <first> is sent whole by the next engine
    # Guards against an end of the connection that is taken for the end of the head or the stream.
    Given scripted engines that first send "<first>, <ending>" and then "<second>"
    When a caller reads a stream
    Then the caller gets the events 1 2 3 4 5 and the stream is complete
    And 2 requests have reached the scripted upstreams

    Examples:
      | first                                 | ending | second        |
      | stream head up to 200 OK              | break  | events 1 to 5 |
      | stream head up to s-caller-1          | break  | events 1 to 5 |
      | stream head up to event-stream        | break  | events 1 to 5 |
      | stream head up to Transfer-Encoding   | break  | events 1 to 5 |
      | stream head up to event-stream        | reset  | events 1 to 5 |
      | 103, stream head up to event-stream   | break  | events 1 to 5 |
      | refusal up to Not-Executed: 1         | break  | events 1 to 5 |
      | events 1 to 2, size of a chunk up to 0 | break | events 3 to 5 |
      | events 1 to 2, size of a chunk        | break  | events 3 to 5 |

  Scenario: a stream whose events have no ids is not continued
    Given scripted engines that first send "events without ids, break" and then "events 1 to 5"
    When a caller reads a stream
    Then the caller gets the events without ids and the stream is incomplete
    And 1 request has reached the scripted upstreams

  Scenario Outline: a stream that <stalls> after 2 events is continued elsewhere
    Bytes that are no event are no progress.

    Given scripted engines that first send "events 1 to 2, <stalls>" and then "events 3 to 5"
    When a caller reads a stream
    Then the caller gets the events 1 2 3 4 5 and the stream is complete
    And 2 requests have reached the scripted upstreams

    Examples: the longest gap is 1.5 s
      | stalls                |
      | silence               |
      | comments for 10 s     |
      | slow event for 10 s   |
      | slow chunk for 10 s   |

  Scenario: a stream that pauses is not cut while no other upstream can continue it
    Given one scripted engine that sends "events 1 to 2, pause of 2.2 s, events 3 to 5"
    When a caller reads a stream
    Then the caller gets the events 1 2 3 4 5 and the stream is complete

  # Guards against ending an answer that could have gone on, for another attempt that is not made.
  Scenario Outline: a stream that pauses is not cut while <reason> forbids another attempt
    Given scripted engines that first send "<script>" and then "events 3 to 5"
    And the retry budget is <budget>
    When a caller reads a stream
    Then the caller gets the events <events> and the stream is complete
    And 1 request has reached the scripted upstreams

    Examples:
      | reason                  | budget  | events      | script                                          |
      | an event without an id  | whole   | without ids | events without ids, pause of 2.2 s, nothing more |
      | the used retry budget   | used up | 1 2 3 4 5   | events 1 to 2, pause of 2.2 s, events 3 to 5     |

  Scenario Outline: a request whose engine <first>, and whose stages cannot run again, gets status <status>
    Given scripted engines that first send "pause of 0.5 s, <script>" and then "inputs gone"
    When a caller reads a stream with stages, which hang once an engine has the request
    Then the caller gets status <status> and is told that it has <run>

    Examples: 503 says that the request has not run
      | first                | script      | status | run         |
      | broke off            | break       | 504    | maybe run   |
      | misses its inputs    | inputs gone | 503    | not run     |

  Scenario Outline: a <kind> request whose upstream sends <answer> gets status <status>
    Given scripted plain upstreams that send "<answer>"
    When a caller sends a <kind> request with a deadline of 1500 ms
    Then the caller gets status <status>
    And no later request gets a part of that answer

    Examples: an order that may have run is not reported as "not run"
      | kind    | answer                                | status |
      | plain   | 103, answer                           | 200    |
      | plain   | answer, foreign answer                | 200    |
      | plain   | answer, refusal                       | 200    |
      | plain   | answer, answer                        | 200    |
      | plain   | refusal                               | 503    |
      | plain   | refusal, answer                       | 503    |
      | plain   | refusal of another request            | 502    |
      | plain   | refusal of another request, answer    | 502    |
      | plain   | foreign answer, answer                | 502    |
      | plain   | half an answer, break                 | 502    |
      | plain   | half an answer, reset                 | 502    |
      | plain   | answer without length, reset          | 502    |
      | plain   | answer without length, break          | 200    |
      | plain   | half a chunk, break                   | 502    |
      | plain   | chunks without the last, break        | 502    |
      | plain   | break                                 | 502    |
      | plain   | reset                                 | 502    |
      | plain   | silence                               | 504    |
      | plain   | no HTTP, break                        | 502    |
      | plain   | chunked answer                        | 200    |
      | plain   | status line of 100000 bytes           | 502    |
      | plain   | answer with status 000                | 502    |
      | plain   | answer with status 099                | 502    |
      | plain   | answer with status 101                | 502    |
      | plain   | answer with status 20                 | 502    |
      | plain   | answer with status 599                | 599    |
      | plain   | answer with status 600                | 502    |
      | plain   | answer with status 999                | 502    |
      | plain   | answer with status 2000               | 502    |
      | plain   | answer with status -200               | 502    |
      | plain   | chunked answer with status 204        | 502    |
      | look-up | foreign answer, answer                | 502    |

  Scenario Outline: an order whose upstream sends <answer> and ends by a <ending> may have run
    # Guards against a head that breaks off and is taken for an answer without body or a refusal.
    Given scripted plain upstreams that send "<answer>, <ending>"
    When a caller sends a plain request with a deadline of 4000 ms
    Then the caller gets status 502 and is told that it has maybe run
    And 1 request has reached the scripted upstreams

    Examples: neither an answer nor a promise that the order has not run
      | answer                                     | ending |
      | answer up to HTTP/1.1                      | break  |
      | answer up to 200                           | break  |
      | answer up to 200 OK                        | break  |
      | answer up to Request-Id:                   | break  |
      | answer up to s-caller-1                    | break  |
      | answer up to s-caller-1                    | reset  |
      | answer up to Content-Length:               | break  |
      | answer up to Content-Length: 1             | break  |
      | answer up to Content-Length: 18            | break  |
      | answer up to Content-Length: 18            | reset  |
      | answer up to answer to                     | break  |
      | 103, answer up to s-caller-1               | break  |
      | 103 up to Early Hints                      | break  |
      | chunked answer up to Transfer-Encoding:    | break  |
      | chunked answer up to chunked               | break  |
      | chunked answer up to 012                   | break  |
      | chunked answer up to note                  | break  |
      | chunked answer up to answer to caller-1    | break  |
      | chunked answer up to 0;last                | break  |
      | chunked answer up to X-Trailer: 1          | break  |
      | chunked answer up to X-Trailer: 1          | reset  |
      | refusal up to 503                          | break  |
      | refusal up to Service Unavailable          | break  |
      | refusal up to s-caller-1                   | break  |
      | refusal up to Not-Executed                 | break  |
      | refusal up to Not-Executed: 1              | break  |
      | refusal up to Content-Length: 4            | break  |
      | refusal up to Not-Executed: 1              | reset  |
      | misdirected up to 421 Misdirected Request  | break  |
      | misdirected up to s-caller-1               | break  |
      | 500 up to Internal Server Error            | break  |

  # Guards against an attempt that breaks off within the body of the request and is not counted.
  Scenario Outline: an order whose <ending> within the request's body is sent once
    Given scripted plain upstreams that first send "<script>" and then "answer"
    And the node takes bodies of 4000000 bytes
    And writes to upstreams <writes>
    When a caller sends an order with a body of 3900000 bytes
    Then the caller gets status 502 and is told that it has maybe run
    And 1 request has reached the scripted upstreams

    Examples:
      | ending                         | script  | writes                    |
      | upstream resets its connection | reset   | succeed                   |
      | write fails                    | silence | fail behind the head      |

  # Guards against a part of an answer that looks complete because a write has reported its reset.
  Scenario Outline: an order of <size> bytes whose upstream answers <answer> and resets while <count> descriptors are open may have run
    Given scripted plain upstreams that send "<answer>, reset"
    And the node takes bodies of 4000000 bytes
    And the node has <count> open descriptors
    And writes to upstreams <writes>
    When a caller sends an order with a body of <size> bytes
    Then the caller gets status 502 and is told that it has maybe run
    And 1 request has reached the scripted upstreams

    Examples: the write of the body ends before, within and after the answer
      | answer                                | size    | count | writes                          |
      | answer without length                 | 100     | 10    | succeed                         |
      | answer without length                 | 100     | 10    | pause for 0.3 s behind the head |
      | answer without length                 | 30000   | 1100  | pause for 0.3 s behind the head |
      | answer without length                 | 3900000 | 10    | succeed                         |
      | answer without length                 | 3900000 | 1100  | succeed                         |
      | answer without length                 | 3900000 | 10    | pause for 0.3 s behind the head |
      | answer without length                 | 3900000 | 1100  | pause for 0.3 s behind the head |
      | HTTP/1.0 answer up to answer to       | 30000   | 10    | pause for 0.3 s behind the head |
      | half an answer                        | 30000   | 10    | pause for 0.3 s behind the head |
      | chunks without the last               | 3900000 | 10    | pause for 0.3 s behind the head |

  Scenario Outline: a <kind> whose upstream sends <answer> gets status <status> and <body>
    Given scripted plain upstreams that send "<answer>"
    When a caller sends a <kind> request with a deadline of 4000 ms
    Then the caller gets status <status>
    And the answer has <body>
    And no later request gets a part of that answer

    Examples: statuses that have no body, whatever follows
      | kind  | answer                              | status | body    |
      | plain | answer with status 204              | 204    | no body |
      | plain | answer with status 304              | 304    | no body |
      | plain | 103, answer with status 204         | 204    | no body |

  # Guards against system calls that cannot take large descriptors.
  Scenario Outline: a <kind> request with a body of <size> bytes is answered at a node with <count> open descriptors
    Given scripted plain upstreams that send "read the body, answer"
    And the node takes bodies of 4000000 bytes
    And the node has <count> open descriptors
    When a caller sends a <kind> request with a body of <size> bytes
    Then the caller gets status 200
    And 1 request has reached the scripted upstreams

    Examples:
      | kind  | size    | count |
      | order | 60000   | 10    |
      | order | 60000   | 1100  |
      | order | 3900000 | 1100  |

  Scenario Outline: a look-up of which an upstream sends <answer> is answered by the next one
    # Guards against an empty answer to a request that another upstream could have answered.
    Given scripted plain upstreams that first send "<answer>, break" and then "answer"
    When a caller sends a look-up request with a deadline of 4000 ms
    Then the caller gets status 200
    And 2 requests have reached the scripted upstreams
    And no later request gets a part of that answer

    Examples:
      | answer                             |
      | answer up to 200 OK                |
      | answer up to s-caller-1            |
      | chunked answer up to 0;last        |
      | refusal up to Service Unavailable  |

  Scenario Outline: a plain request whose upstream sends <bytes> ends at its deadline
    Given scripted plain upstreams that send "<bytes>"
    When a caller sends a plain request with a deadline of 1500 ms
    Then the caller gets status 504
    And the upstream's connection was closed before it had sent everything

    Examples: bytes that never become an answer, each sooner than any time-out of a single read
      | bytes                     |
      | slow status line for 12 s |
      | slow header for 12 s      |
      | slow chunk for 12 s       |
      | slow trailer for 12 s     |
      | interim answers for 12 s  |

  Scenario Outline: a plain request whose upstream sends a flood of <bytes> fails before its deadline
    # Guards against memory or processor time that a faulty upstream can take without a bound.
    Given scripted plain upstreams that send "flood of <bytes>"
    When a caller sends a plain request with a deadline of 20000 ms
    Then the caller gets status 502
    And the upstream's connection was closed before it had sent everything

    Examples: bytes that never become an answer, as fast as they are read
      | bytes                |
      | status line          |
      | header               |
      | headers              |
      | interim answers      |
      | chunk size           |
      | chunk notes          |
      | chunks               |
      | trailers             |
      | bytes without length |

  Scenario: a stream with an event that never ends is cut before its deadline
    # Guards against an event that is kept in memory until the deadline.
    Given scripted engines that first send "flood of event" and then "events 2 to 5"
    When a caller reads a stream
    Then the caller gets the events 1 2 3 4 5 and the stream is complete
    And the upstream's connection was closed before it had sent everything

  Scenario Outline: a plain request whose HTTP/1.0 upstream sends <answer> gets status <status>
    Given scripted plain upstreams that send "<answer>"
    When a caller sends a plain request with a deadline of 4000 ms
    Then the caller gets status <status>
    And no later request gets a part of that answer

    Examples:
      | answer                                         | status |
      | HTTP/1.0 answer                                | 200    |
      | HTTP/1.0 answer, answer                        | 200    |
      | HTTP/1.0 answer up to s-caller-1, break        | 502    |
      | HTTP/1.0 answer up to Content-Length: 1, break | 502    |
      | HTTP/1.0 answer up to answer to, break         | 502    |
      | HTTP/1.0 answer up to answer to, reset         | 502    |

  # Guards against chunk sizes within the body, and a part that looks whole: such callers know no chunks.
  Scenario Outline: an HTTP/1.0 caller of a stream whose engine sends "<script>" gets <answer>
    Given one scripted engine that sends "<script>"
    When an HTTP/1.0 caller reads a stream
    Then it gets <answer> with a length

    Examples:
      | script                        | answer              |
      | events 1 to 3                 | the events 1 2 3    |
      | unframed events 1 to 3        | the events 1 2 3    |
      | events without ids, break     | an error 502        |
      | unframed events 1 to 3, reset | an error 502        |
      | events 1 to 2, break          | an error 502        |
      | answer with status 600        | an error 502        |
      | answer with status 000        | an error 502        |
      | unframed events 1 to 2, reset | an error 502        |

  # Guards against memory that stays reserved for callers that leave.
  Scenario: an HTTP/1.0 caller that leaves within a stream leaves no memory reserved
    Given one scripted engine that sends "events 1 to 3, silence"
    When an HTTP/1.0 caller leaves a stream once 3 events were sent
    Then the node has no memory reserved for requests

  Scenario Outline: a stream whose engines send <answer> is <end>
    Given one scripted engine that sends "<answer>"
    When a caller reads a stream
    Then the caller gets the events <events> and the stream is <end>

    Examples: streams without length and chunks, and invalid statuses
      | answer                        | events | end        |
      | unframed events 1 to 3        | 1 2 3  | complete   |
      | unframed events 1 to 2, reset | 1 2    | incomplete |

  Scenario Outline: a stream that begins with <answer> gets status 502
    Given one scripted engine that sends "<answer>"
    When a caller sends a stream request with a deadline of 4000 ms
    Then the caller gets status 502

    Examples:
      | answer                    |
      | answer with status 000    |
      | answer with status 099    |
      | answer with status 600    |
      | answer with status 999    |

  Scenario: requests that a caller sends at once get their own answers in their order
    # Guards against answers that are exchanged between the requests of one connection.
    Given scripted plain upstreams that send "103, answer, foreign answer"
    When a caller sends 4 plain requests at once on one connection
    Then the caller gets the answers to its 4 requests in their order
