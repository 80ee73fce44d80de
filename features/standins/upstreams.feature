Feature: Emulated upstreams
  Experiments judge the system by these records, so the emulation itself must be right.

  Scenario Outline: standins engine resumes at token <offset>
    # Guards against a resumed stream that could not be compared with the whole one.
    Given standins an engine with 4 slots
    When standins a stream of 12 tokens is read from offset <offset>
    Then standins the stream holds exactly the expected tokens from <offset>

    Examples:
      | offset |
      | 0      |
      | 1      |
      | 7      |
      | 11     |
      | 12     |

  Scenario: standins engine bounds its batch and prefers a higher priority
    # Guards against an engine without the queueing that the system is tested against.
    Given standins an engine with 1 slots
    When standins requests with the priorities 0, 0, 2 and 1 arrive while one is running
    Then standins they are executed in the order of priority

  Scenario: standins engine gets slower per token as its batch grows
    # Guards against an emulation without a cost of crowding.
    Given standins an engine with 8 slots
    When standins one request and then 6 at a time are generated
    Then standins the crowded ones took longer per token

  Scenario: standins engine skips the prefill of cached prefixes within its memory
    # Guards against a cache that holds everything, which would make affinity worthless.
    Given standins an engine whose cache holds 4 blocks
    When standins a prompt of 3 blocks is sent twice, then another, then the first again
    Then standins the prefilled tokens show one hit and one eviction

  Scenario: standins engine moves a cached prefix to another engine
    # Guards against an export that the importing engine does not use.
    Given standins an engine whose cache holds 8 blocks
    When standins its prefix is exported to a second engine
    Then standins the second engine prefills only the rest

  Scenario: standins engine reports cache events late and with gaps
    # Guards against events that are better than those of real engines.
    Given standins an engine whose events are 30 s late and lack every third
    When standins a prompt of 6 blocks is sent
    Then standins no event is visible at first and 4 of 6 after 30 s

  Scenario: standins engine stops when its client leaves
    # Guards against cancelled work that goes on and hides wasted capacity.
    Given standins an engine with 1 slots
    When standins a client leaves a stream of 500 tokens after 3
    Then standins fewer than 250 tokens are generated and the slot is free

  Scenario: standins load reports lag
    # Guards against a load report that is fresher than real ones.
    Given standins a plain service that reports its load 30 s late
    When standins 3 requests hang there
    Then standins the load report shows 0 at first and 3 after 30 s

  Scenario Outline: standins record a breach of the limit <kind>
    # Guards against experiments that pass although a limit was exceeded.
    Given standins an engine with the limit <kind> of <limit>
    When standins <count> requests of 10 tokens arrive at once
    Then standins the record shows a breach of <kind>: <breach>

    Examples:
      | kind           | limit | count | breach |
      | concurrency    | 2     | 2     | no     |
      | concurrency    | 2     | 3     | yes    |
      | requests_per_s | 3     | 3     | no     |
      | requests_per_s | 3     | 4     | yes    |
      | tokens_per_s   | 30    | 3     | no     |
      | tokens_per_s   | 29    | 3     | yes    |

  Scenario Outline: standins judge by the looser limit during a grace of <grace> s
    # Guards against a breach that is only the time a change needs, and against a lasting grace.
    Given standins an engine with the limit concurrency of 3
    When standins the concurrency is limited to 1 with a grace of <grace> s
    And standins 3 requests of 10 tokens arrive at once
    Then standins the record shows a breach of concurrency: <breach>

    Examples:
      | grace | breach |
      | 60    | no     |
      | 0     | yes    |

  Scenario Outline: standins serve the fault <fault>
    # Guards against a fault that does nothing, which would make every experiment pass.
    Given standins a plain service that reports its load 0 s late
    When standins the fault <fault> is posted and a request is sent
    Then standins the request <outcome>

    Examples:
      | fault                | outcome               |
      | {}                   | is answered           |
      | {"refuse": true}     | is refused            |
      | {"crash": true}      | breaks                |
      | {"hang": true}       | times out             |
      | {"silent_s": 30.0}   | times out             |
      | {"silent_s": 0.2}    | is answered           |
      | {"straggle": 100.0}  | times out             |
      | {"fail": true}       | fails after execution |
      | {"unknown": true}    | is answered           |

  Scenario: standins break a stream off after the set number of tokens
    # Guards against streams that never break in experiments on resumption.
    Given standins an engine with 1 slots
    When standins a stream of 12 tokens is broken off after 5
    Then standins exactly 5 tokens arrived before it broke

  Scenario: standins stop gracefully
    # Guards against a planned stop that cuts off work.
    Given standins a plain service that reports its load 0 s late
    When standins it is stopped gracefully while a request runs and another comes
    Then standins the running one is answered and the new one is refused
    And standins nothing was cut off

  Scenario: standins record what a crash cuts off
    # Guards against a cut-off request that nobody counts.
    Given standins a plain service that reports its load 0 s late
    When standins it crashes while a request runs
    Then standins the record names the cut-off request

  Scenario: standins record repeated executions and work after a withdrawal
    # Guards against doubled orders and late dispatches that are not seen.
    Given standins a plain service that reports its load 0 s late
    When standins an order is sent twice and again after its withdrawal
    Then standins the record at /record shows 3 executions and 1 late arrival

  Scenario: standins share one server
    # Guards against one upstream's fault or record that affects another on the same port.
    Given standins 20 services on one server of which one refuses
    When standins each of them gets a request
    Then standins only that one refused and each record has one arrival

  Scenario: standins weight store limits its rate and engines load through it
    # Guards against model loading that costs nothing.
    Given standins a weight store with 2 requests/s and an engine that uses it
    When standins the engine is told to load 3 models
    Then standins all 3 are loaded and the store had refused some requests

  Scenario: standins host process serves a specification and finishes work when it is stopped
    # Guards against experiments whose upstreams cut off work because their process ends.
    When standins a host process with one upstream of each kind is stopped while a request runs
    Then standins the running one is answered and the process ends with status 0
