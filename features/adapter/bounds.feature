Feature: The bound that ended a request
  Several bounds may end a request: those of the caller, of the route and of an upstream's silence.
  Operators must see in the log which one did, and under which configuration it was set.

  Background:
    Given a serving node with stand-ins for the platform

  # Guards against log lines from which the bound that ended a request cannot be told.
  Scenario Outline: the log names <bound> as the bound that ended a <kind> request
    Given routes with a timeout of <timeout> ms
    And scripted upstreams for a <kind> request that send "<script>"
    When a caller begins a <kind> request with a deadline of <deadline> ms
    Then the log line of the request names bound "<bound>" and configuration 2

    Examples: after the first bytes of an answer
      | bound                                | kind    | timeout | deadline | script                |
      | 1 the caller's deadline              | stream  | 9000    | 400      | events 1 to 2, silence |
      | 2 the route's timeout                | stream  | 400     | 9000     | events 1 to 2, silence |
      | 5 the longest gap between two events | stream  | 9000    | 9000     | events 1 to 2, silence |
      | 1 the caller's deadline              | look-up | 9000    | 400      | half a chunk, silence  |

    Examples: before the first byte of an answer
      | bound                                | kind    | timeout | deadline | script  |
      | 4 the longest wait for the first byte | look-up | 9000   | 2000     | silence |
      | 1 the caller's deadline              | plain   | 9000    | 400      | silence |
      | 2 the route's timeout                | plain   | 400     | 9000     | silence |

  Scenario: a request that an upstream ended names no bound
    Given routes with a timeout of 9000 ms
    And scripted upstreams for a plain request that send "half an answer, break"
    When a caller begins a plain request with a deadline of 9000 ms
    Then the log line of the request names no bound

  # Guards against a bound of a later configuration on a request that was admitted before.
  Scenario Outline: a change of the timeouts from <before> to <after> ms does not reach a stream that has begun
    Given routes with a timeout of <before> ms
    And scripted upstreams for a stream request that send "events 1 to 2, pause of 1.2 s, events 3 to 5"
    When a caller begins a stream request with a deadline of <deadline> ms
    And the timeouts of all routes change to <after> ms once the stream has begun
    Then the caller ends with the events <events>
    And the log line of the request has a deadline of <kept> ms

    Examples:
      | before | after | deadline | events    | kept |
      | 9000   | 300   | 8000     | 1 2 3 4 5 | 7980 |
      | 600    | 9000  | 8000     | 1 2       | 580  |
