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

  Scenario: a malformed request is called malformed while the server runs
    Given a server to which a caller has sent half a head of a request
    When the caller ends its side of the connection
    Then the caller is told that the request is malformed

  # Guards against a stop that waits for ever for a thread that was started during the stop.
  Scenario: a server stops while one of its threads passes on bytes behind a request
    Given a server whose only thread is about to pass on a second request on its connection
    When the server stops before the thread does so
    Then the stop ends and no thread of the server is left
