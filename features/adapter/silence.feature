Feature: Upstreams that fall silent and go on
  A sound upstream may say nothing for a second or so and go on. It must not be ejected, and nothing
  that it still has to answer must be reported as failed or run again without need.

  Background:
    Given a serving node with stand-ins for the platform

  Scenario Outline: <count> <kind> requests at one of two <service> upstreams that is silent for <time> s are served
    Guards against an ejection, and against an order that is reported as failed.

    When one of two <service> upstreams falls silent for <time> s and <count> <kind> requests wait for it
    Then all waiting requests are answered with status 200
    And no upstream was ejected, and the silent one gets requests again

    Examples: two requests in a row that waited in vain would eject it
      | kind    | service | count | time |
      | plain   | plain   | 3     | 0.5  |
      | plain   | plain   | 3     | 1.0  |
      | plain   | plain   | 3     | 1.5  |
      | look-up | plain   | 3     | 0.5  |
      | look-up | plain   | 3     | 1.0  |
      | look-up | plain   | 3     | 1.5  |
      | stream  | engine  | 3     | 0.5  |
      | stream  | engine  | 3     | 1.0  |
      | stream  | engine  | 3     | 1.5  |

  Scenario Outline: a stream that pauses for <time> s is not continued elsewhere
    Guards against a stream that is cut although its upstream is sound.

    Given streams whose events are on time with pauses of 250 ms
    And scripted engines that first send "events 1 to 2, pause of <time> s, events 3 to 5" and then "events 3 to 5"
    When a caller reads a stream
    Then the caller gets the events 1 2 3 4 5 and the stream is complete
    And 1 request has reached the scripted upstreams

    Examples: callers leave after 2 s
      | time |
      | 0.5  |
      | 1.0  |
      | 1.5  |

  Scenario Outline: a stream whose stages <run> is not cut when its engine pauses for <time> s
    Guards against a stream that is cut for a continuation that needs the results of its stages. They
    have been freed, and to make them again takes longer than the silence.

    Given scripted engines that first send "events 1 to 2, pause of <time> s, events 3 to 5" and then "events 3 to 5"
    When a caller reads a stream with stages that <run>
    Then the caller gets the events 1 2 3 4 5 and the stream is complete
    And 1 request has reached the scripted upstreams

    Examples: longer than a sound silence, but callers of the route wait for 5 s
      | run              | time |
      | can run again    | 1.5  |
      | can run again    | 2.4  |
      | cannot run again | 1.8  |
      | cannot run again | 2.4  |

  Scenario: a stream with stages is continued elsewhere once the entry of its silent engine ends
    Guards against a stream that waits for an engine that has failed.

    Given scripted engines that first send "events 1 to 2, silence" and then "events 3 to 5"
    When a caller reads a stream with stages while the entry of its engine ends
    Then the caller gets the events 1 2 3 4 5 and the stream is complete
    And 2 requests have reached the scripted upstreams

  Scenario Outline: the only plain upstream accepts no connection for <time> s and then answers
    Guards against a refusal although the one upstream that can answer goes on in time.

    Given one scripted plain upstream that accepts no connection for <time> s and sends "answer"
    When a caller sends a plain request with a deadline of 4000 ms
    Then the caller gets status 200
    And 1 request has reached the scripted upstreams

    Examples: a connection is given up after 0.25 s
      | time |
      | 0.5  |
      | 1.0  |
      | 1.5  |

  Scenario Outline: a stage upstream that is silent for <time> s keeps its call
    Guards against a call that is given up, and whose results are dropped.

    When the upstream of the first stage falls silent for <time> s and a staged stream waits for it
    Then the caller gets status 200 with "1 2 3 4 5"
    And the first stage ran 2 pieces by key and the second 3 pieces with 2 inputs
    And no upstream was ejected, and the silent one gets requests again

    Examples: a call is expected to take 12 ms
      | time |
      | 0.5  |
      | 1.0  |
      | 1.5  |

  Scenario: upstreams that refuse connections are ejected at once
    Guards against a crash that is taken for a silence.

    Given scripted plain upstreams that send "answer"
    When the scripted upstreams close their ports and 1 callers send plain requests
    Then the scripted upstreams are suspected

  Scenario: upstreams that reset connections are ejected after two requests each
    Guards against a crash that is taken for a silence.

    Given scripted plain upstreams that send "reset"
    When 4 callers send plain requests one after another
    Then the scripted upstreams are suspected

  Scenario: an ejected engine is used again after the caller of its probe has left
    Guards against an engine that is never used again because its probe showed nothing.

    Given all engines are "slow"
    And engine engine-1 was ejected and may be probed
    When callers disconnect during streams until engine-1 was probed
    Then no engine is suspected
