Feature: Pipeline runner
  Requests run in the threads of their callers and call emulated upstreams over HTTP.

  Scenario: execution runner passes the answer of each stage to the next
    # Guards against a stage that gets the answer of another request or stage as its input.
    Given execution a node with 2 engines and one of each other upstream
    When execution a pipeline of four stages is run for organisation guild
    Then execution the answer is the text expected for the documents of the previous stage
    And execution each upstream received the request once with the right ids

  Scenario Outline: execution runner streams every token once if streams break after <kept> tokens
    # Guards against repeated, missing or changed tokens after a broken stream is resumed.
    Given execution a node with 2 engines and one of each other upstream
    When execution <tokens> tokens are streamed while engines break after <kept>
    Then execution the caller received exactly the expected <tokens> tokens
    And execution the token times of the stream are reported once

    Examples:
      | tokens | kept |
      | 10     | 100  |
      | 10     | 9    |
      | 10     | 5    |
      | 10     | 4    |
      | 1      | 100  |

  Scenario Outline: execution stream assembled from the attempts <attempts> gives <tokens>
    # Guards against an upstream that resumes at another offset than the requested one.
    Then execution chunks <attempts> are assembled to <tokens>

    Examples:
      | attempts             | tokens |
      | 0a 1b 2c             | abc    |
      | 0a 1b / 1b 2c        | abc    |
      | 0a 1b / 0a 1b 2c     | abc    |
      | 0a 1b / 2c           | abc    |
      | 0a / 2c              | broken |
      | 0ab / 1bc            | broken |
      | 0a 1b / 3d           | broken |

  Scenario: execution stream assembled from generated attempts is exact or broken
    # Guards against combinations of breaks, overlaps and gaps that change the text.
    Then execution generated attempts never give a repeated or missing token

  Scenario: execution runner ends a stream that cannot be resumed with a problem
    # Guards against a broken stream that looks complete to the caller.
    Given execution a node with 2 engines and one of each other upstream
    When execution 10 tokens are streamed while engines break after 1
    Then execution the caller received the first 3 tokens, then STREAM_BROKEN with executed yes

  Scenario Outline: execution runner answers although one of two engines has the fault <fault>
    # Guards against a failure of one upstream that reaches callers.
    Given execution a node with 2 engines and one of each other upstream
    When execution the first engine has the fault <fault> and 3 pipelines run one by one
    Then execution all 3 are answered with their own texts

    Examples:
      | fault        |
      | refuse       |
      | fail         |
      | crash        |
      | swap_answers |

  Scenario: execution runner hedges an attempt at a straggler and drops the late answer
    # Guards against a straggler that delays requests, and against the use of its late answer.
    Given execution a node with 2 engines and one of each other upstream
    And execution 30 pipelines have been answered
    When execution the next engine hangs and another pipeline runs
    Then execution the other engine answers the request
    And execution the hanging engine records a cancelled call

  Scenario Outline: execution runner sends a non-idempotent operation once after the fault <fault>
    # Guards against a retry of a non-idempotent operation, such as a second payment.
    Given execution a node with 2 engines and one of each other upstream
    When execution the operation pay is called with the fault <fault>
    Then execution pay was sent once with executed <executed>

    Examples:
      | fault  | executed |
      | fail   | unknown  |
      | crash  | unknown  |
      | refuse | no       |

  Scenario Outline: execution runner sends nothing if the node loses its confirmation <when>
    # Guards against work started by a node that is not confirmed.
    Given execution a node with 2 engines and one of each other upstream
    When execution the node loses its confirmation <when> and a request arrives
    Then execution the unconfirmed node rejects the request as NOT_CONFIRMED with executed no
    And execution the service received no request

    Examples:
      | when                     |
      | beforehand               |
      | while the request waits  |
      | just before it is sent   |

  Scenario: execution runner sends no waiting work to a withdrawn upstream
    # Guards against a queued request that is sent to an upstream after its withdrawal.
    Given execution a node with 2 engines and one of each other upstream
    When execution a service is withdrawn while requests wait for it
    Then execution the running request is answered and the waiting ones are rejected as NO_UPSTREAM
    And execution no call arrived at the service after its withdrawal

  Scenario: execution runner cancels a request whose caller has disconnected
    # Guards against upstream work that continues without a caller, and against lost permits.
    Given execution a node with 2 engines and one of each other upstream
    When execution a caller disconnects while its operation hangs
    Then execution the upstream records a cancelled call
    And execution nothing is in progress and the permit is returned after the deadline

  Scenario: execution runner cancels a stream whose iterator is closed
    # Guards against an engine that generates tokens for a caller that has disconnected.
    Given execution a node with 2 engines and one of each other upstream
    When execution a caller closes its stream of 400 tokens after 3
    Then execution the engines generated fewer than 200 tokens
    And execution nothing is in progress and the permit is returned after the deadline

  Scenario: execution runner answers many concurrent requests with their own answers
    # Guards against answers that are lost, duplicated or given to the wrong thread.
    Given execution a node with 2 engines and one of each other upstream
    And execution the engines are limited to 4 concurrent requests each
    When execution 120 pipelines of 5 organisations run in 24 threads
    Then execution every request has its own answer and no limit was exceeded

  Scenario Outline: execution runner rejects <request> with <code>
    # Guards against an exception or a wrong result code for invalid requests.
    Given execution a node with 2 engines and one of each other upstream
    When execution <request> is requested
    Then execution the request is rejected as <code> with executed no

    Examples:
      | request              | code             |
      | an unknown pipeline  | UNKNOWN_PIPELINE |
      | an unknown service   | UNKNOWN_SERVICE  |
      | an unknown operation | UNKNOWN_SERVICE  |
      | a passed deadline    | DEADLINE_PASSED  |

  Scenario Outline: execution runner with <tokens> output tokens, limits of <upstream> and <team>
    # Guards against a request that can never be sent and blocks its queue until its deadline.
    Given execution a node with 2 engines and one of each other upstream
    And execution limits of <upstream> tokens per second for each upstream and <team> for the team
    When execution a pipeline with a prompt of 10 tokens and <tokens> output tokens runs
    Then execution the request is <outcome>

    Examples:
      | tokens | upstream | team | outcome                                      |
      | 20     | 30       | 60   | answered                                     |
      | 20     | none     | none | answered                                     |
      | 21     | 30       | 60   | rejected as BODY_TOO_LARGE with executed no  |
      | 21     | 60       | 30   | rejected as BODY_TOO_LARGE with executed no  |

  Scenario: execution runner reports executed work if a later stage is refused
    # Guards against "executed: no" although the first stages have run.
    Given execution a node with 2 engines and one of each other upstream
    When execution both engines refuse their calls and a pipeline of four stages runs
    Then execution the request is rejected as UPSTREAM_REFUSED with executed yes

  Scenario: execution measurement compares calls through the runner with direct calls
    # Guards against a measurement that fails or compares different calls.
    When execution 20 pairs of calls are measured
    Then execution the figures cover 20 pairs and are consistent
