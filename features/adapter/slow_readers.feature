Feature: Callers and upstreams that read slowly
  A node takes a stream from its upstream, which resets a connection that is not read, whether or not
  the caller reads it. What it keeps meanwhile has a bound.

  Background:
    Given a serving node with stand-ins for the platform
    And connections of callers whose buffers keep little

  # Guards against a stream that its upstream cuts off because the caller reads slowly.
  Scenario Outline: a caller that <reads> gets a stream of <size> kB whole
    Given one scripted engine that sends "stream of <size> kB unless unread for 1 s"
    When a caller that <reads> gets a stream
    Then the caller has got all <size> events and the end of the stream
    And the upstream was rid of the stream before the caller had read it
    And the node holds no bytes for the caller any more

    Examples:
      | size | reads                           |
      | 800  | reads nothing for 3 s           |
      | 800  | reads 4 kB, and nothing for 3 s |
      | 800  | reads 20 kB every 0.1 s         |

  # Guards against requests that count as load of an upstream which has long answered them.
  Scenario: an upstream is free once it has answered, whether or not the caller has read the answer
    Given one scripted engine that sends "stream of 800 kB unless unread for 1 s"
    When a caller that reads nothing for 3 s gets a stream
    Then no attempt was in flight while the caller read nothing

  Scenario Outline: with memory for <memory> kB of unread streams, <count> callers that read nothing for 3 s get <result>
    Given one scripted engine that sends "stream of 800 kB unless unread for <patience> s"
    And the node has memory for <memory> kB of unread streams
    When <count> callers that read nothing for 3 s get a stream
    Then at most <memory> kB of unread streams were kept
    And <result>
    And the node holds no bytes for the caller any more

    Examples: without memory, the upstream is read as fast as the caller reads
      | memory | count | patience | result                                       |
      | 10000  | 3     | 1        | all callers have got their whole streams     |
      | 100    | 1     | 20       | all callers have got their whole streams     |
      | 100    | 3     | 20       | all callers have got their whole streams     |
      | 100    | 2     | 1        | no stream that was cut off looks complete    |

  Scenario Outline: a caller that <leaves> while it reads nothing leaves nothing behind
    Given one scripted engine that sends "stream of 800 kB unless unread for 1 s"
    When a caller <leaves> while its stream is kept
    Then the node holds no bytes for the caller any more

    Examples:
      | leaves                |
      | closes its connection |
      | resets its connection |

  # Guards against an upstream that holds a request past its deadline with a byte now and then.
  Scenario: an order whose upstream reads its body slowly ends at its deadline
    Given scripted plain upstreams that send "slow reading for 12 s"
    And the node takes bodies of 16000000 bytes
    When a caller sends an order with a body of 15900000 bytes within 1500 ms
    Then the caller gets status 504
    And the answer came within 2500 ms
