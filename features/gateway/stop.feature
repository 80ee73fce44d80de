Feature: Requests that are not complete when the server stops
  A caller that is told that its request is malformed does not send it again. A stop of the server
  ends its reading of requests, which must not be answered as the caller's mistake.

  Scenario Outline: a request of which <part> was sent before a stop is not called malformed
    Given a server to which a caller has sent <part> of a request
    When the server stops
    Then the caller gets a refusal of a request that was not executed, or no answer

    Examples:
      | part                |
      | half a line         |
      | half a head         |
      | half a body         |
      | half a chunk's line |
      | half a chunk        |

  # Guards against requests that a stopping server accepted or read, and closed without an answer (LOST).
  Scenario Outline: <what> when the server stops: it is refused, and the connection is not reset
    Given a server with 2 threads that refuses all requests, as a node does that has left
    When the server stops with <what>
    Then each caller gets status 503, the announcement of the close and the end, without a reset
    And the stop ends

    Examples:
      | what                                                      |
      | a request on a connection that waits to be accepted       |
      | 20 requests on connections that wait to be accepted       |
      | a request on a connection made after the stop began       |
      | a request on a connection that was accepted and not read  |
      | a request that arrived on a kept connection and is unread |
      | a new connection whose request arrives 50 ms later        |
      | a kept connection whose request arrives at once           |
      | requests that arrived on 3 kept connections, unread       |
      | half a head, the rest of which arrives 50 ms later        |
      | half a body, the rest of which arrives 50 ms later        |
      | half a head, the rest of which does not arrive            |
      | half a body, the rest of which does not arrive            |
      | half a large body, more of which arrives 50 ms later      |
      | requests that wait for a thread                           |
      | half a head that waits for a thread                       |
      | half a body that waits for a thread                       |
      | requests that are being refused                           |

  # Guards against a stop that is late, and then closes connections on which requests have arrived.
  Scenario: a server whose time is over when it stops still refuses what has arrived
    Given a server with 2 threads that refuses all requests, as a node does that has left
    And the server should have closed a second ago
    When the server stops with 20 requests on connections that wait to be accepted
    Then each caller gets status 503, the announcement of the close and the end, without a reset
    And the stop ends

  Scenario: the server counts what it did for connections when it stopped
    Given a server with 2 threads that refuses all requests, as a node does that has left
    When the server stops with 20 requests on connections that wait to be accepted
    Then each caller gets status 503, the announcement of the close and the end, without a reset
    And the stop ends
    And the server has counted 20 answers and no connection that it cut

  # Guards against connections that are accepted while the server stops, and closed unread (LOST). The
  # system resets those that are made in the instant in which the listener closes.
  Scenario: each connection that is accepted while the server stops gets an answer
    Given a server with 2 threads that refuses all requests, as a node does that has left
    When the server stops while callers connect and send a request, one each 10 ms
    Then as many callers get status 503 as connections were accepted, and no other request was read
    And the stop ends

  # Guards against a stop that takes longer than the grace period, in which callers' requests arrive unread.
  Scenario: a server that checks its connections once a minute stops without waiting for the next check
    Given a server that checks its connections each 60 s, and a kept connection
    When the server stops
    Then the caller gets the end of the connection, and the stop ends

  # Guards against a stop that a caller prolongs which sends nothing, or reads nothing.
  Scenario Outline: a caller that <behaviour> does not keep the server from stopping
    Given a server whose caller <behaviour>
    When the server stops
    Then the stop ends

    Examples:
      | behaviour                              |
      | connects and sends nothing             |
      | keeps its connection and sends nothing |
      | sends a byte of a head each 20 ms      |
      | reads nothing of a large answer        |

  Scenario: a malformed request is called malformed while the server runs
    Given a server to which a caller has sent half a head of a request
    When the caller ends its side of the connection
    Then the caller is told that the request is malformed

  # Guards against a stop that waits for ever for a thread that was started during the stop.
  Scenario: a server stops while one of its threads passes on bytes behind a request
    Given a server whose only thread is about to pass on a second request on its connection
    When the server stops before the thread does so
    Then the stop ends and no thread of the server is left

  # Guards against requests that wait at the listener of a native node, and are closed unread when it stops (LOST).
  Scenario Outline: <what> when the server of a native node stops is answered
    Given a server of a native node
    When the native server stops with <what>
    Then each of these callers gets status 200 and the end, without a reset

    Examples:
      | what                                                      |
      | 20 requests on connections that wait to be accepted       |
      | a request that arrived on a kept connection and is unread |

  # Guards against requests that a stopping server accepts for so long that it closes them unread (LOST).
  Scenario: a server that stops answers requests while others still wait to be accepted
    Given a server with 2 threads that refuses all requests, as a node does that has left
    When it stops late in accepting one of 10 requests that wait
    Then each caller gets status 503, the announcement of the close and the end, without a reset
    And a request was answered before the last one was accepted
