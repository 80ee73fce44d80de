Feature: What upstreams say of themselves in their answers
  An upstream that leaves says so in all its answers, and one that turns a request away may ask for
  a pause. A node that overlooks it in one kind of answer goes on sending requests there.

  Background:
    Given a serving node with stand-ins for the platform

  Scenario Outline: an upstream that answers "<answer>" gets <count> of 3 requests, the last ends with <code>
    Given one scripted plain upstream that sends "<answer>"
    When a caller sends 3 plain requests with a deadline of 1500 ms
    Then <count> requests have reached the scripted upstreams
    And the last request ends with <code>

    Examples: every answer is read, whatever its status and whatever follows its head
      | answer                            | count | code              |
      | leaving answer                    | 1     | UPSTREAMS_LEAVING |
      | leaving 500                       | 1     | UPSTREAMS_LEAVING |
      | leaving 503                       | 1     | UPSTREAMS_LEAVING |
      | leaving refusal                   | 1     | UPSTREAMS_LEAVING |
      | leaving inputs gone               | 1     | UPSTREAMS_LEAVING |
      | leaving half an answer, break     | 1     | UPSTREAMS_LEAVING |
      | leaving half an answer, reset     | 1     | UPSTREAMS_LEAVING |
      | leaving answer without length, reset | 1  | UPSTREAMS_LEAVING |
      | leaving 103, answer               | 1     | UPSTREAMS_LEAVING |
      | leaving 103, break                | 1     | UPSTREAMS_LEAVING |
      | pausing refusal                   | 1     | UPSTREAMS_PAUSED  |
      | pausing 503                       | 1     | UPSTREAMS_PAUSED  |

    Examples: an answer to another request or of another upstream says nothing of this one
      | answer                            | count | code              |
      | leaving foreign answer            | 3     | UPSTREAM_FAILED   |
      | leaving refusal of another request | 3    | UPSTREAM_FAILED   |
      | pausing refusal of another request | 3    | UPSTREAM_FAILED   |
      | leaving 421                       | 1     | NO_UPSTREAM       |

    Examples: only a refusal with status 503 asks for a pause, and only in a readable way
      | answer                            | count | code              |
      | pausing 500                       | 3     | answered          |
      | pausing answer                    | 3     | answered          |
      | nonsense-pausing refusal          | 3     | NO_UPSTREAM       |

  # Guards against requests that reach an upstream while the node waits for what follows such a response.
  Scenario: what an upstream says in an interim response counts before its answer has come
    Given one scripted plain upstream that sends "leaving 103, hold, answer"
    When a caller sends a plain request, and another one as soon as the node has read the interim response
    Then the callers get the statuses 200 and 503
    And 1 request has reached the scripted upstreams

  Scenario: a pause of half a second ends, and the upstream is used again
    Given one scripted plain upstream that sends "shortly-pausing refusal" and then "answer"
    When a caller sends plain requests until one is answered
    Then 2 requests have reached the scripted upstreams
    And they have reached them at least 0.5 s apart

  Scenario: callers of a service whose upstreams want a pause are told when to come back
    Given one scripted plain upstream that sends "pausing refusal"
    When a caller sends 3 plain requests with a deadline of 1500 ms
    Then each answer asks the caller to come back after 600 to 900 s
    And the retry budget is unused

  Scenario: a request that fails at its only upstream leaves the retry budget unused
    Nothing is sent a second time, so that nothing may be counted.

    Given one scripted plain upstream that sends "500"
    When a caller sends 3 look-up requests with a deadline of 1500 ms
    Then the retry budget is unused

  Scenario: a request whose other upstream refuses connections leaves the retry budget unused
    Given scripted plain upstreams that send "500"
    And the second of them refuses connections
    When a caller sends 3 look-up requests with a deadline of 1500 ms
    Then the retry budget is unused

  # Guards against repetitions beyond the retry budget: sent for one that was given back.
  Scenario: a repetition that follows an upstream that refuses connections counts in the retry budget
    Given 3 scripted plain upstreams that send "500" and are tried in their order
    And the second of them refuses connections
    When a caller sends 1 look-up requests with a deadline of 1500 ms
    Then 2 requests have reached the scripted upstreams
    And the retry budget counts 1 retry

  Scenario Outline: a <kind> request that upstream <name> <behaviour> and says that it leaves is its last
    Given upstream <name> <behaviour> and says that it leaves
    When callers send <kind> requests until <name> has run one
    And callers send 20 further <kind> requests
    Then <name> has run nothing more

    Examples: answers of stages and streams are read too
      | kind          | name     | behaviour   |
      | plain         | plain-1  | answers     |
      | look-up       | plain-1  | fails       |
      | stream        | engine-1 | answers     |
      | stream        | engine-1 | breaks      |
      | staged stream | first-1  | answers     |
      | staged stream | second-1 | answers     |

  Scenario: an upstream that says so when results are freed gets no further stage calls
    Given upstream first-1 says that it leaves only when results are freed
    When callers send staged stream requests until first-1 has run one
    And the node has read that first-1 leaves
    And callers send 20 further staged stream requests
    Then first-1 has run nothing more

  Scenario Outline: a stage whose last upstream <statement> ends the request at once with <code>
    The request would otherwise wait until its deadline.

    Given the only upstream of stage <stage> <statement>
    When a caller sends a staged stream request until stage <stage> has said so
    And a caller sends a staged stream request
    Then the caller gets status 503
    And the code is <code>
    And the engines ran nothing more

    Examples:
      | statement     | stage  | code              |
      | leaves        | first  | UPSTREAMS_LEAVING |
      | leaves        | second | UPSTREAMS_LEAVING |
      | wants a pause | first  | UPSTREAMS_PAUSED  |
      | wants a pause | second | UPSTREAMS_PAUSED  |

  # Guards against stages that run for a request that cannot be served any more.
  Scenario Outline: a request whose stage <stage> has only upstreams that leave is refused before any stage runs
    Given the only upstream of stage <stage> leaves
    When a caller sends a staged stream request until stage <stage> has said so
    And a caller sends a staged stream request
    Then the caller gets status 503
    And the code is UPSTREAMS_LEAVING
    And no stage ran anything more

    Examples:
      | stage  |
      | first  |
      | second |

  Scenario Outline: after plain-1 has said that it leaves and <event>, it gets <share> plain requests
    Given upstream plain-1 answers and says that it leaves
    When callers send plain requests until plain-1 has run one
    And <event> happens to plain-1
    And callers send 20 further plain requests
    Then plain-1 has run <share> more

    Examples: an address that another service reuses gets that service's requests, 421 otherwise
      | event                             | share   |
      | an outage of the store            | nothing |
      | a new registration, same start    | nothing |
      | a new registration, later start   | some    |
      | a removal                         | nothing |
      | a reuse of its address            | nothing |

  Scenario Outline: an address whose upstream <statement> serves another service once that reuses it
    Guards against a statement that stays with the address, and not with the upstream.

    Given upstream plain-1 <statement>
    When callers send plain requests until plain-1 has said so
    And a reuse of its address happens to plain-1
    And streams reach its successor
    Then the node says nothing of the successor

    Examples:
      | statement                     |
      | answers and says that it leaves |
      | asks for a pause of 600 s     |

  Scenario: a node that hears from a peer that plain-1 leaves avoids it, but uses it if it is the last
    Given the second stage upstreams are known
    When a peer's heartbeat says that plain-1 leaves
    And callers send 20 further plain requests
    Then plain-1 has run nothing more
    And the log says that plain-1 is "leaving, says a peer" by its "n9"
    When plain-2 is removed from the store
    And callers send 1 further plain requests
    Then plain-1 has run some more

  Scenario: a node tells its peers that plain-1 leaves, once it has read so itself
    Given upstream plain-1 answers and says that it leaves
    Then the node's heartbeats name no upstream
    When callers send plain requests until plain-1 has run one
    Then the node's heartbeats name plain-1

  Scenario Outline: heartbeats <change> are read
    A rolling update must not make nodes take each other for lost.

    When a peer sends a heartbeat <change>
    Then the node knows the peer

    Examples: nodes of the version before and after this one
      | change                                    |
      | without leaving upstreams                 |
      | without suspects                          |
      | without a position in an era of the store |
      | without unheard peers                     |
      | with a field of a later version           |

  Scenario: a stage call that waited for a thread is not sent to an upstream that leaves meanwhile
    Its pieces would be made a second time elsewhere, or late.

    Given a stage caller whose threads are all taken
    When a call to an upstream waits for a thread and the upstream says that it leaves
    Then the call is not sent and its pieces count as not executed

  # Guards against requests that reach an upstream long after the node has read that it wants none:
  # they were chosen for it before, and were still connecting.
  Scenario Outline: a request that waits for a connection is not sent once the upstream <statement>
    Given one scripted plain upstream that accepts no connection for 1.0 s and sends "answer"
    When a plain request waits for a connection and the node reads that the upstream <statement>
    Then 0 requests have reached the scripted upstreams
    And the last request ends with <code>

    Examples:
      | statement     | code              |
      | leaves        | UPSTREAMS_LEAVING |
      | wants a pause | UPSTREAMS_PAUSED  |
      | is evacuated  | ZONES_EVACUATED   |

  # Guards against stage calls that do.
  Scenario: a stage call that waits for a connection is not sent to an upstream that leaves meanwhile
    Given a stage caller
    When a call waits for a connection to an upstream that says meanwhile that it leaves
    Then the call has not arrived and its pieces count as not executed

  # Guards against calls that free results in a pause.
  Scenario: a call that frees results is not sent if its upstream begins to pause while it connects
    Given a stage caller
    When results are to be freed at an upstream that begins to pause before the call is connected
    Then the call has not arrived

  Scenario: the log and the metrics say which upstream gets nothing, why and who said so
    Given upstream plain-1 answers and says that it leaves
    And upstream plain-2 asks for a pause of 30 s
    When callers send plain requests until plain-1 has run one
    And a caller sends a plain request
    Then the log says that plain-1 is "leaving" by its "own answer"
    And the log says that plain-2 is "held off" by its "own answer"
    And the metrics count one upstream as leaving and one as paused
