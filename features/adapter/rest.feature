Feature: A stream is begun only if it can end in time
  Ten streams of 100 output tokens, one after the other, have taken at least 0.5 s from their first event to their end.

  Background:
    Given a serving node with stand-ins for the platform
    And routes with a timeout of 9000 ms
    And scripted upstreams for a stream request that send "events 1 to 2, pause of 0.5 s, events 3 to 5"
    When 10 streams of 100 output tokens have ended

  # Guards against streams that are sent to an engine and cut off in the middle of their answers,
  # although the node knows that they cannot end in time.
  Scenario: a stream that cannot end before its deadline is refused at once as not executed
    When a caller sends a stream request of 100 output tokens with a deadline of 300 ms
    Then the answer has status 503, code 1303 and a Retry-After
    And no upstream has got the request
    And the log line of the request names the forecast, its observations and the time left
    And the metrics count 1 refused stream by its forecast

  # Guards against refusals of streams that can still end.
  Scenario Outline: <a stream> is not refused
    When a caller sends a <kind> request of <tokens> output tokens with a deadline of <deadline> ms
    Then an upstream has got the request

    Examples: enough time, fewer tokens, and a stream whose rest is not known
      | a stream                   | kind           | tokens | deadline |
      | a stream with time enough  | stream         | 100    | 3000     |
      | a stream with more tokens  | stream         | 1000   | 1500     |
      | a stream with few tokens   | stream         | 5      | 300      |
      | a resumed stream           | resumed stream | 100    | 300      |
