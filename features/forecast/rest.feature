Feature: The rest of a request that goes well
  A request is refused only if its rest does not fit into the time left even if it goes well. A
  forecast may be wrong: then a request is served in vain, and hardly any is refused in vain.
  Streams of 100 output tokens arrive five times a second. A stream that does not end in the time
  left is cut off.

  # Guards against requests that are refused although nothing is known of them.
  Scenario Outline: <count> streams of the route after its start or <age> s ago, a stream with 0.1 s left is <decision>
    Given <count> streams that took 1 s, <age> s ago
    Then a stream with 0.1 s left is <decision>

    Examples: a node just started, a route never seen, evidence that is too old
      | count | age | decision |
      | 0     | 0   | served   |
      | 1     | 0   | served   |
      | 7     | 0   | served   |
      | 8     | 0   | refused  |
      | 40    | 0   | refused  |
      | 40    | 2.9 | refused  |
      | 40    | 3.1 | served   |
      | 40    | 900 | served   |

  # Guards against a slower engine whose streams go on being begun in vain for long.
  Scenario: an engine that turns four times slower is noticed, and nothing that fits is refused
    Given streams with about 1 s left at 5 ms a token with 0 spread for 20 s
    When the streams go on at 20 ms a token for 60 s
    Then no stream is refused that would have ended in time
    And at least 0.1 of the streams that cannot end are refused

  # Guards against streams that are refused for long after an engine has become fast again.
  Scenario Outline: an engine that silently comes back from <slow> to 5 ms a token is used again
    Given streams with <left> s left at <slow> ms a token for 60 s
    When the streams go on at 5 ms a token for 60 s
    Then at most <refused> streams are refused that would have ended in time

    Examples: the age of the evidence bounds the refusals
      | slow | left | refused |
      | 20   | 1    | 18      |
      | 20   | 3    | 0       |
      | 8    | 1    | 0       |

  # Guards against refusals of large requests, whose tokens say little of their time.
  Scenario Outline: a stream with <factor> times the <tokens> tokens and <left> s left is <decision>
    Given 40 streams that took 1 s, 0 s ago
    Then a stream with <left> s left and <factor> times the <tokens> tokens is <decision>

    Examples: ten times as many count as what was seen, a tenth in proportion
      | factor | tokens | left | decision |
      | 10     | output | 1.2  | served   |
      | 10     | output | 0.7  | refused  |
      | 10     | prompt | 1.2  | served   |
      | 0.1    | output | 0.3  | served   |
      | 0.1    | prompt | 0.95 | served   |
      | 1e30   | output | 1.2  | served   |
      | 0      | output | 0.3  | served   |

  # Guards against a forecast that carries the old timeout of a route into the new one.
  Scenario: with a longer timeout, streams that were cut off before are served at once
    Given streams with 1 s left at 20 ms a token for 30 s
    When the streams go on with 6 s left at 20 ms a token for 30 s
    Then no stream is refused that would have ended in time
    And no stream is begun in vain

  # Guards against refusals after a step of a clock: the times of forecasts are monotonic.
  Scenario Outline: after a time that is <step> s off, a stream with 1 s left is served
    Given 40 streams that took 0.5 s, <step> s ago
    Then a stream with 1 s left is served

    Examples: seconds
      | step      |
      | -1000     |
      | 100000000 |

  # Guards against a resumed stream that is refused as if it had to be generated whole.
  Scenario: nothing is forecast of a resumed stream
    Given 40 streams that took 1 s, 0 s ago
    Then a resumed stream with 0.1 s left is served

  # Guards against refusals of more than 1 in 100 requests that would have been served.
  Scenario Outline: with <spread> spread of times, hardly any stream is refused that would have been served
    Given streams with about 0.6 s left at 5 ms a token with <spread> spread for 400 s
    Then at most 0.01 of the streams are refused that would have ended in time
    And at least <share> of the streams that cannot end are refused

    Examples: lognormal times
      | spread | share |
      | 0.2    | 0.4   |
      | 0.5    | 0.15  |
      | 1.0    | 0.02  |

  # Guards against infinite, negative and undefined forecasts, whatever is stated or observed.
  Scenario: forecasts are finite and not negative for any observations and sizes
    Then the forecasts of any observations and sizes lie between 0 and a day for each part

  # Guards against a refusal that does not say what it rests on.
  Scenario: a misfit names its parts, their evidence and the time left
    Given 40 streams that took 1 s, 0.5 s ago
    Then the reason for refusing a stream with 0.1 s left names "the latest 0.5 s ago" and "0.10 s are left"
