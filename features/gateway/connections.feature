Feature: Connections that callers keep
  Callers send requests on connections that they keep, as long as the idle limit allows that they
  know. A request that crosses a close, or that no thread reads, would get neither an answer nor a
  refusal.

  # Guards against closing a connection earlier than a caller may rely on, which loses a request.
  Scenario Outline: <case>: a request after <idle> s is <end>
    Given a pass-through server with an idle limit of <limit> s
    And a connection with an answered request
    When the following happens to the connection
      """
      <events>
      """
    And the connection has been idle for <idle> s
    Then a further request on the connection is <end>

    Examples: the limit that holds is the longest that the caller may know; it may use four fifths
      | case                              | limit | events                                   | idle | end      |
      | no change                         | 15    |                                          | 12   | answered |
      | no change, past the limit         | 15    |                                          | 18   | closed   |
      | lowered while it is idle          | 15    | 5 s pass, the limit becomes 2 s          | 12   | answered |
      | lowered just before it is idle    | 15    | the limit becomes 2 s, 1 s pass, request | 12   | answered |
      | lowered long before it is idle    | 15    | the limit becomes 2 s, 9 s pass, request | 1.6  | answered |
      | long lowered, past the limit      | 15    | the limit becomes 2 s, 9 s pass, request | 5    | closed   |
      | lowered twice while it is idle    | 15    | the limit becomes 8 s, the limit becomes 2 s | 12 | answered |
      | lowered and raised while idle     | 15    | the limit becomes 2 s, the limit becomes 9 s | 12 | answered |
      | raised while it is idle           | 2     | 1 s pass, the limit becomes 15 s         | 12   | answered |
      | raised before this node knows it  | 2     | 3 s pass, the limit becomes 15 s         | 12   | answered |
      | the clock is set forward          | 15    | the wall clock is set by 3600 s          | 1    | answered |
      | the clock is set back             | 15    | the wall clock is set by -3600 s         | 18   | closed   |

  # Guards against closing a connection on which a request has arrived but was not read yet.
  Scenario: a request that arrives before its idle connection is closed is answered
    Given a pass-through server with an idle limit of 15 s
    And a connection with an answered request
    When a request arrives while the server is about to close the idle connection
    Then that request is answered

  # Guards against the idle limit as a bound on requests and answers in progress.
  Scenario Outline: with an idle limit of 1 s, a caller that <behaviour> gets the whole answer
    Given a pass-through server with an idle limit of 1 s
    When a caller <behaviour>
    Then the caller gets the whole answer

    Examples:
      | behaviour                                      |
      | pauses for 1.6 s within the body               |
      | pauses for 1.6 s within a chunk                |
      | reads nothing for 1.6 s of an answer of 16 MB  |

  # Guards against a reset that destroys an answer whose caller is still sending.
  Scenario Outline: a caller that sends more after <request> gets the answer and no reset
    Given a pass-through server with an idle limit of 15 s
    When the server receives <request> and more bytes, and the caller reads late
    Then the caller gets status <status> and the end of the connection

    Examples:
      | request                     | status |
      | a malformed request         | 400    |
      | a body that is too large    | 413    |
      | a request that is the last  | 200    |

  # Guards against a request that was read and dropped because the connection closes.
  Scenario: requests that have arrived together are all answered by a server that closes
    Given a pass-through server that is closing
    When the server receives 3 requests at once
    Then the caller gets 3 answers, of which only the last one announces the close

  # Guards against connections without a request that occupy threads.
  Scenario: connections on which nothing has arrived hold no thread
    Given a pass-through server with 2 threads
    When 12 callers connect and send nothing
    Then the request of another caller is answered

  # Guards against requests that wait for a thread for ever: accepted, but neither answered nor refused.
  Scenario Outline: while all threads are busy, <what> is refused and not passed on
    Given a pass-through server with 2 threads
    And all threads are busy
    When the busy server receives <what>
    Then the caller gets status 503 with Retry-After while the threads are busy
    And the handler gets nothing of it

    Examples:
      | what                               |
      | a request on a new connection      |
      | a request with a body              |
      | a request on a kept connection     |
      | a part of a body that is large     |
      | two requests at once               |

  # Guards against callers that stall and keep others from being refused or served.
  Scenario Outline: callers that send half a <part> while all threads are busy do not hold up the others
    Given a pass-through server with 2 threads
    And all threads are busy
    When <count> callers send half a <part> and a byte each 50 ms
    And the busy server receives a request on a new connection
    Then the caller gets status 503 with Retry-After while the threads are busy

    Examples:
      | part | count |
      | head | 5     |
      | body | 5     |

  Scenario: a request that waits for a thread is answered once one is free
    Given a pass-through server with 2 threads
    And all threads are busy
    When the threads become free as a caller sends a request
    Then the caller gets the whole answer

  # Guards against closing kept connections without an announcement when there are too many.
  Scenario: the answer on a connection beyond those that may be kept announces the close
    Given a pass-through server that keeps 2 connections
    When 3 callers send a request each on connections that stay open
    Then 2 connections stay open and 1 answer announces the close

  # Guards against a server that, once out of descriptors, closes no connections and stays out of them.
  Scenario: a server that cannot accept a connection still closes others, and accepts it then
    Given a pass-through server with 2 threads
    When no further connection can be accepted while one that was shut down is open
    And a caller sends its last request and leaves
    Then the request of another caller is answered

  # Guards against a connection that is dropped with its request because no thread can be started.
  Scenario: a request that arrives while no thread can be started is answered by another thread
    Given a pass-through server with at least 2 and at most 4 threads
    And 2 threads are busy and no further one can be started
    When a caller sends a request, and the threads become free once no further one could be started
    Then the caller gets the whole answer

  # Guards against a server that closes its listener for good because one connection could not be kept or closed (LOST).
  Scenario Outline: a server goes on after a connection could not be <handled> by <thread>
    Given a pass-through server with 2 threads
    When a connection cannot be <handled> by <thread>
    Then its caller sees the end of the connection or an answer
    And the request of another caller is answered
    And no connection is left open

    Examples:
      | handled | thread               |
      | kept    | a thread             |
      | kept    | the accepting thread |
      | closed  | a thread             |

  # Guards against answers whose cost grows with the number of connections that wait for a request.
  Scenario: an answer does not go through the connections that wait for a request
    Given a pass-through server that checks its connections once a minute
    And 20 callers have connected and send nothing
    When a caller sends 5 requests on a connection
    Then the waiting connections were not gone through
