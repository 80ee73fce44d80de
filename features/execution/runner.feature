Feature: Pipeline runner
  Requests run in their callers' threads against real HTTP servers.

  Scenario: execution runner passes each stage's answer to the next
    # Guards against a stage that works on another input.
    Given execution a node with 2 engines and one of each other upstream
    When execution a pipeline of four stages is run for organisation guild
    Then execution its answer is the text expected for the documents of the stage before
    And execution each upstream saw the request once with its ids

  Scenario Outline: execution runner streams every token once with breaks after <kept> tokens
    # Guards against repeated, missing or changed tokens after a resumption.
    Given execution a node with 2 engines and one of each other upstream
    When execution <tokens> tokens are streamed while engines break after <kept>
    Then execution the caller got exactly the expected <tokens> tokens
    And execution the token times of the stream are reported once

    Examples:
      | tokens | kept |
      | 10     | 100  |
      | 10     | 9    |
      | 10     | 5    |
      | 10     | 4    |
      | 1      | 100  |

  Scenario Outline: execution streams assembled from <attempts> give <tokens>
    # Guards against an upstream that resumes at another offset than it was asked for.
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

  Scenario: execution streams assembled from generated attempts are exact or broken
    # Guards against any combination of breaks, overlaps and gaps that changes the text.
    Then execution generated attempts never give a repeated or missing token

  Scenario: execution runner reports a stream that cannot be resumed after the tokens it has
    # Guards against a broken stream that looks complete.
    Given execution a node with 2 engines and one of each other upstream
    When execution 10 tokens are streamed while engines break after 1
    Then execution the caller got the first 3 tokens and then STREAM_BROKEN with executed yes

  Scenario Outline: execution runner survives the fault <fault> of one engine of two
    # Guards against a failure of one upstream that callers see.
    Given execution a node with 2 engines and one of each other upstream
    When execution the first engine has the fault <fault> and 3 pipelines run one by one
    Then execution all 3 are answered with their own texts

    Examples:
      | fault        |
      | refuse       |
      | fail         |
      | crash        |
      | swap_answers |

  Scenario: execution runner hedges a straggling engine and drops its late answer
    # Guards against a straggler that makes requests late, and against its answer being used.
    Given execution a node with 2 engines and one of each other upstream
    And execution 30 pipelines have been answered
    When execution the next engine hangs and one more pipeline runs
    Then execution it is answered by the other engine
    And execution the hanging engine records that its client left

  Scenario Outline: execution runner sends an operation that is not idempotent once, with <fault>
    # Guards against a payment that runs twice.
    Given execution a node with 2 engines and one of each other upstream
    When execution the operation pay meets the fault <fault>
    Then execution pay was sent once and executed is <executed>

    Examples:
      | fault  | executed |
      | fail   | unknown  |
      | crash  | unknown  |
      | refuse | no       |

  Scenario Outline: execution runner sends nothing after the node lost its right to act <when>
    # Guards against work that a node without confirmation starts.
    Given execution a node with 2 engines and one of each other upstream
    When execution the node loses its right to act <when> and a request comes
    Then execution the request is rejected as NOT_CONFIRMED with executed no
    And execution the service saw no request from it

    Examples:
      | when                     |
      | beforehand               |
      | while the request waits  |
      | just before it is sent   |

  Scenario: execution runner gives a withdrawn upstream no waiting work
    # Guards against new work at an upstream whose team has withdrawn it.
    Given execution a node with 2 engines and one of each other upstream
    When execution requests wait while their service is withdrawn
    Then execution the running one is answered and the waiting ones are NO_UPSTREAM
    And execution nothing arrived at the service after its withdrawal

  Scenario: execution runner cancels a request whose caller has left
    # Guards against work that goes on for nobody, and against permits that are lost.
    Given execution a node with 2 engines and one of each other upstream
    When execution a caller leaves while its operation hangs
    Then execution the upstream records that its client left
    And execution nothing is in flight and the permit comes back after the deadline

  Scenario: execution runner cancels a stream whose iterator is closed
    # Guards against an engine that generates for a caller that has gone.
    Given execution a node with 2 engines and one of each other upstream
    When execution a caller closes its stream of 400 tokens after 3
    Then execution the engines generated fewer than 200 tokens
    And execution nothing is in flight and the permit comes back after the deadline

  Scenario: execution runner answers many concurrent requests with their own answers
    # Guards against answers that are mixed up, lost or doubled between threads.
    Given execution a node with 2 engines and one of each other upstream
    And execution the engines are limited to 4 concurrent requests each
    When execution 120 pipelines of 5 organisations run in 24 threads
    Then execution every answer belongs to its request and no limit was exceeded

  Scenario Outline: execution runner rejects <request> with <code>
    # Guards against an exception or a wrong code for requests that fit no configuration.
    Given execution a node with 2 engines and one of each other upstream
    When execution <request> is requested
    Then execution it is rejected as <code> with executed no

    Examples:
      | request              | code             |
      | an unknown pipeline  | UNKNOWN_PIPELINE |
      | an unknown service   | UNKNOWN_SERVICE  |
      | an unknown operation | UNKNOWN_SERVICE  |
      | a passed deadline    | DEADLINE_PASSED  |

  Scenario Outline: execution runner takes <tokens> tokens under limits of <upstream> and <team>
    # Guards against a request that can never be sent and holds up all others until its deadline.
    Given execution a node with 2 engines and one of each other upstream
    And execution tokens limited to <upstream> for each upstream and <team> for the team
    When execution a pipeline with a prompt of 10 tokens and <tokens> output tokens runs
    Then execution it is <outcome>

    Examples:
      | tokens | upstream | team | outcome                                      |
      | 20     | 30       | 60   | answered                                     |
      | 20     | none     | none | answered                                     |
      | 21     | 30       | 60   | rejected as BODY_TOO_LARGE with executed no  |
      | 21     | 60       | 30   | rejected as BODY_TOO_LARGE with executed no  |

  Scenario: execution runner says that a later stage's rejection follows executed work
    # Guards against "executed: no" after the first stages have run.
    Given execution a node with 2 engines and one of each other upstream
    When execution both engines refuse and a pipeline of four stages runs
    Then execution it is rejected as UPSTREAM_REFUSED with executed yes

  Scenario: execution measurement compares the same call through the runner and made directly
    # Guards against a measurement that no longer runs or compares different things.
    When execution 20 pairs of calls are measured
    Then execution the figures are of 20 pairs and fit each other
