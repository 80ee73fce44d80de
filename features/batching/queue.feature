Feature: Queue of one stage service
  Calls must be full under load, results must fit into the space of the upstream that produces them,
  and no piece may be lost when an upstream fails or stalls.

  Scenario: pieces that arrive while all upstreams are busy share a call
    Given a stage queue with 1 upstreams and 4 pieces per call
    When the queue receives orders of 1, 1, 1, 1 pieces
    Then calls of 1 pieces are in progress
    When the first call ends
    Then calls of 3 pieces are in progress

  Scenario: an order that fits into one call is not split
    Given a stage queue with 1 upstreams and 4 pieces per call
    When the queue receives orders of 1, 4, 2, 4 pieces
    And the first call ends
    Then calls of 4 pieces are in progress
    And the call has pieces of 1 orders

  Scenario: a call that would be partly empty takes a part of the next order
    Given a stage queue with 1 upstreams and 4 pieces per call
    When the queue receives orders of 1, 3, 3 pieces
    And the first call ends
    Then calls of 4 pieces are in progress
    And the call has pieces of 2 orders

  Scenario: an order larger than a call is split
    Given a stage queue with 2 upstreams and 4 pieces per call
    When the queue receives orders of 6 pieces
    Then calls of 4, 2 pieces are in progress

  Scenario Outline: with space for <space> results a call has <pieces> pieces
    Given a stage queue with 1 upstreams and 4 pieces per call
    And space for <space> results at each upstream
    When the queue receives orders of 4 pieces
    Then calls of <pieces> pieces are in progress

    Examples:
      | space | pieces |
      | 4     | 4      |
      | 3     | 3      |
      | 1     | 1      |

  Scenario: kept results occupy space until they are freed
    Given a stage queue with 1 upstreams and 4 pieces per call
    And space for 4 results at each upstream
    When the queue receives orders of 4, 4 pieces
    And the first call ends
    Then no calls are in progress
    When the results of the first call are released
    Then calls of 4 pieces are in progress

  Scenario: results that are not freed occupy space until they expire
    Given a stage queue with 1 upstreams and 4 pieces per call
    And space for 4 results at each upstream
    When the queue receives orders of 4, 4 pieces with a deadline in 20 s
    And the first call ends
    And 4.1 s pass
    Then calls of 4 pieces are in progress

  Scenario: pieces at an upstream that stalls are called at another upstream
    Given a stage queue with 2 upstreams and 4 pieces per call
    When the queue receives orders of 2 pieces
    And 0.7 s pass
    Then calls of 2, 2 pieces are in progress
    When the second call ends
    Then the order has 2 results
    When the first call ends
    Then the order has 2 results
    And 2 results are freed

  Scenario Outline: a piece whose calls fail with <failure> is called at most <times> times
    Given a stage queue with 3 upstreams and 4 pieces per call
    When the queue receives orders of 1 pieces
    And every call fails with <failure>
    Then <times> calls were made and the order failed

    Examples:
      | failure            | times |
      | a connection reset | 3     |

  # Guards against an ejected upstream that gets no further call once its queue was full.
  Scenario: an upstream whose probe is rejected without being run is called again
    Given a stage queue with 3 upstreams and 4 pieces per call
    When upstream u1 is ejected, and probed by a call that it rejects without running it
    Then the queue does not suspect upstream u1

  Scenario: an order that cannot meet its deadline fails at once
    Given a stage queue with 1 upstreams and 4 pieces per call
    When the queue receives orders of 4, 4, 4, 4 pieces with a deadline in 0.9 s
    Then the last order fails as late

  # Guards against late orders that hold results while more and more of them wait.
  Scenario Outline: of orders that are late on arrival, <waiting> pieces wait at <upstreams> upstreams
    Given a stage queue with <upstreams> upstreams and 4 pieces per call
    When the queue receives 20 orders of 2 pieces that are late
    And the first call ends
    Then <refused> orders are refused, to come back one after the other
    And <waiting> pieces wait

    Examples: a full call takes 0.28 s, 10 or 21 pieces 0.75 s; then a call of 4 pieces starts
      | upstreams | refused | waiting |
      | 1         | 14      | 6       |
      | 2         | 8       | 16      |

  Scenario: orders of more urgent priority are called first
    Given a stage queue with 1 upstreams and 4 pieces per call
    When the queue receives orders of 4 pieces
    And the queue receives orders of 4 pieces of priority 2
    And the queue receives orders of 4 pieces of priority 0
    And the first call ends
    Then the last call has pieces of priority 0

  Scenario Outline: an order with inputs in z2 that is due in <due> s goes to <zone> when the upstream in z2 is <state>
    Given a stage queue with 2 upstreams and 4 pieces per call
    And the upstream in z2 is <state>
    When the queue receives an order with inputs in z2 that is due in <due> s
    Then the queue calls an upstream in <zone>

    Examples: an order waits for its zone unless it would then miss its target
      | state | due | zone |
      | free  | 2   | z2   |
      | busy  | 2   | none |
      | busy  | 0.5 | z1   |

    Examples: the call of an upstream that states that its VM is slow ends later
      | state         | due | zone |
      | busy          | 1.2 | none |
      | busy and slow | 1.2 | z1   |
      | busy and slow | 2   | none |

  Scenario: orders of a restarted node differ from those of its previous process
    Owners keep the orders of a process that was killed. The new process must not get their results.

    Given two consecutive processes of one node
    Then the order numbers of the processes differ

  Scenario Outline: inputs are reported as read <when> if <condition>
    Given a stage queue with 1 upstreams and 4 pieces per call
    When the queue receives an order with 2 pieces that read inputs
    And <condition>
    And 0.1 s pass
    Then the inputs of the order are <state>

    Examples: a call that may wait behind calls of another owner may not have read its inputs
      | condition                | state  | when  |
      | nothing else happens     | read   | soon  |
      | a disruption is recorded | unread | later |

  Scenario Outline: <time> s after the start of a call that reads 2 times <size> MB its inputs count as <state>
    The time to read the inputs grows with their size. Inputs that are freed too early are lost.

    Given a stage queue with 1 upstreams and 4 pieces per call
    When the queue receives an order with 2 pieces that read <size> MB each
    And <time> s pass
    Then the inputs of the order are <state>

    Examples: over a link of 1250 MB/s
      | size | time | state  |
      | 0.1  | 0.05 | read   |
      | 50   | 0.05 | unread |
      | 50   | 0.11 | unread |
      | 50   | 0.13 | read   |

  Scenario: inputs do not count as read before the request of their call is written
    On a busy node, the thread that writes the request may run late.

    Given a stage queue with 1 upstreams and 4 pieces per call
    And requests of calls are written only after the calls start
    When the queue receives an order with 2 pieces that read inputs
    And 0.15 s pass
    Then the inputs of the order are unread
    When the request of the call is written
    And 0.05 s pass
    Then the inputs of the order are read

  Scenario: a waiting order that can no longer meet its deadline fails at once
    Given a stage queue with 1 upstreams and 4 pieces per call
    When the queue receives orders of 4 pieces
    And the queue receives orders of 4 pieces with a deadline in 0.95 s
    And the queue receives orders of 4, 4 pieces that are due earlier
    And the first call ends
    Then the order with a deadline in 0.95 s fails as late

  Scenario Outline: after pieces <refused> of 4 found no room the next call has <pieces> pieces
    Given a stage queue with 1 upstreams and 4 pieces per call
    And space for 12 results at each upstream
    When the queue receives orders of 4, 4 pieces
    And the first call ends without room for pieces <refused>
    And 0.05 s pass
    Then calls of <pieces> pieces are in progress

    Examples: a single piece can fail for other reasons, a full upstream refuses all later pieces
      | refused    | pieces |
      | 0          | 4      |
      | 3          | 4      |
      | 1, 2, 3    | none   |
      | 0, 1, 2, 3 | none   |

  Scenario Outline: after a piece fails with <failures> in its <calls>, inputs are reported as read <when>
    Given a stage queue with 1 upstreams and 4 pieces per call
    When a piece fails with <failures> in its <calls>
    And the queue receives an order with 2 pieces that read inputs
    And 0.1 s pass
    Then the inputs of the order are <state>

    Examples: the failure of a single piece must not keep the inputs of all other pieces for seconds
      | failures                 | calls | state  | when  |
      | no room                  | call  | read   | soon  |
      | error                    | call  | read   | soon  |
      | error, then input gone   | calls | read   | soon  |
      | no room, then input gone | calls | read   | soon  |
      | input gone               | call  | unread | later |

  Scenario: inputs that expire before a call has read them do not keep the inputs of other calls
    Under a backlog, inputs expire while their pieces wait. That says nothing about when calls start.

    Given a stage queue with 1 upstreams and 4 pieces per call
    When a piece fails with input gone before its inputs are reported as read
    And the queue receives an order with 2 pieces that read inputs
    And 0.1 s pass
    Then the inputs of the order are read

  Scenario Outline: inputs are reported as <state> if all calls usually take <pace> times the nominal time
    The time of a piece is only approximately known. If the usual difference looks like contention,
    all inputs occupy space until their calls end, and calls of the stage before are not full.

    Given a stage queue with 1 upstreams and 4 pieces per call
    When <calls> calls take <pace> times the nominal time
    And the queue receives an order with 2 pieces that read inputs
    And 0.1 s pass
    Then the inputs of the order are <state>

    Examples: twice the nominal time means that calls wait behind calls of another owner
      | calls | pace | state  |
      | 40    | 1.4  | read   |
      | 40    | 2.0  | unread |

  Scenario: results that have been read are kept until their space is needed
    Given a stage queue with 1 upstreams and 4 pieces per call
    And space for 8 results at each upstream
    When the queue receives orders of 4 pieces
    And the first call ends
    And the results of the first call have been read
    Then 0 results are freed
    When the queue receives orders of 4, 4 pieces
    Then 4 results are freed

  Scenario: results that could not be freed occupy space and are not freed again
    Given a stage queue with 1 upstreams and 4 pieces per call
    And space for 4 results at each upstream
    And freeing results fails
    When the queue receives orders of 4, 4 pieces
    And the first call ends
    And the results of the first call have been read
    And 1 s pass
    Then 4 results are freed
    And no calls are in progress

  Scenario: final results are evictable once the upstream of the request has read them, and no longer after a restart
    Given a request that reads the results of a stage of 2 pieces
    When all pieces of the stage have results
    Then no results are evictable
    When the upstream of the request has read the results
    Then 2 results are reported as evictable exactly once
    When the results have vanished and are produced again
    Then no results are evictable

  Scenario: a vanished input fails all waiting pieces of its order
    Given a stage queue with 1 upstreams and 4 pieces per call
    When the queue receives orders of 7 pieces
    And the first call ends with a vanished input
    Then 4 pieces of the order have failed because of a vanished input
    And no calls are in progress

  Scenario Outline: the release of a result is sent to owner <owner> if its producer b is <state>
    Given a node whose orders go to owner b
    When owner b produces a result and c becomes the owner of the queue
    And owner b is <state>
    And the node releases the result
    Then owner <owner> gets the release

    Examples: an owner that gets no release counts the space as occupied for seconds
      | state | owner |
      | alive | b     |
      | gone  | c     |

  Scenario: a queue that another node owns now returns its waiting pieces, but not those in calls
    Given a stage queue with 1 upstreams and 4 pieces per call
    When the queue receives orders of 6 pieces
    And the queue returns its waiting pieces
    Then 2 pieces of the order are returned
    When the first call ends
    Then the order has 4 results
    And no calls are in progress

  Scenario: returned pieces that are ordered again join the pieces of their order in calls
    Given a stage queue with 1 upstreams and 4 pieces per call
    When the queue receives orders of 6 pieces
    And the queue returns its waiting pieces
    And the returned pieces are queued again
    And the first call ends
    Then calls of 2 pieces are in progress

  Scenario: pieces that an owner returns are ordered from the next owner
    Given a node whose orders go to owner b
    When the node orders pieces 0, 1, 2 and b returns pieces 1, 2
    Then pieces 1, 2 are ordered from owner c

  Scenario Outline: an owner that <answer> confirm an order is passed over after <time> ms
    An owner must not be passed over too early: two owners would call the same upstreams, and both
    would find them full.

    Given a node whose orders go to owner b
    And heartbeats every <interval> ms
    When the node orders pieces and owner b <answer> confirm
    Then the order goes to another owner after <time> ms and not before

    Examples:
      | answer                      | interval | time |
      | does not                    | 200      | 250  |
      | does not                    | 300      | 360  |
      | does not                    | 850      | 1020 |
      | sends messages but does not | 300      | 1000 |

  # Guards against a second owner that makes calls beside the first, which is behind a silent connection only.
  Scenario Outline: an order that its owner does not confirm is sent once more after <time> ms
    Given a node whose orders go to owner b
    And heartbeats every <interval> ms
    When the node orders pieces and owner b does not confirm
    Then after <time> ms, and not before, the order is sent to its owner over a new connection

    Examples: half of the time after which the owner is passed over
      | interval | time |
      | 200      | 125  |
      | 300      | 180  |
      | 850      | 510  |

  # Guards against requests that wait for results which were lost with a connection.
  Scenario: an order goes once more to an owner that was silent and is heard again
    Given a node whose orders go to owner b
    When the node orders pieces and owner b does confirm
    And owner b confirms the order and delivers one of its results to a connection that is silent
    And the owner is heard again
    Then the owner gets the order once more

  # Guards against orders that go from node to node, and against as many owners of a queue, when an owner was passed over.
  Scenario: an order that the next owner returns goes back to the owner that was passed over and is heard again
    Given a node whose orders go to owner b
    And heartbeats every 300 ms
    When the node orders pieces and owner b does not confirm
    And the owner is passed over, and is heard again before the next one returns the order
    Then the owner gets the order once more

  Scenario: an owner that has confirmed an order is not passed over
    Given a node whose orders go to owner b
    When the node orders pieces and owner b does confirm
    Then the order stays with its owner

  Scenario Outline: a call reports the pieces that miss their due time and the space that was left
    Overload by late work and a lack of space for results look alike from the number of pieces only.

    Given a stage queue with 1 upstreams and 4 pieces per call
    And space for 4 results at each upstream
    When the queue receives orders of 4, 3 pieces
    And <seconds> s pass
    And the first call ends
    And the results of the first call are released
    Then the last call reports <late> late pieces, a wait of <wait> ms and space for 4 results

    Examples: orders are due after 2 s; a call of 4 pieces takes 280 ms, one of 3 takes 260 ms
      | seconds | late | wait |
      | 0       | 0    | 280  |
      | 1.5     | 3    | 1780 |

  Scenario: the work for a new order does not grow with the number of orders that wait
    An owner gets more than a hundred orders a second. If each of them costs time for all others, a
    busy owner becomes late, and more orders wait.

    Given a stage queue with 1 upstreams and 4 pieces per call
    When the function calls for one more order are counted while 30 and while 300 orders wait
    Then the second count is at most 1.5 times the first

  Scenario Outline: when <change>, the queue of node a is <state>
    A large fleet always has a node that joins or is lost. Only a queue that gets another owner may
    have two of them for a while, and keeps all inputs meanwhile.

    Given a node that owns a queue of a stage service
    When 4 s pass and <change>
    Then the queue is <state>

    Examples:
      | change                                  | state       |
      | a node joins that owns no queue         | undisrupted |
      | a node joins that owns the queue        | disrupted   |
      | the other owner is lost and node a stays | undisrupted |

  Scenario Outline: while upstreams <upstreams> of 2 <statement>, pieces that wait are called at <called>
    Pieces that were called at an upstream that leaves, or once more elsewhere, would be lost or run
    twice.

    Given a stage queue with 2 upstreams and 4 pieces per call
    When the queue receives orders of 4, 4, 4, 4 pieces
    And the upstreams <upstreams> <statement>
    And every call in progress ends, again and again
    Then the queue has called further pieces at <called> only
    And each of 16 pieces was called at most once
    And <failed> pieces failed with <failure>

    Examples: calls in progress end as usual
      | upstreams | statement             | called | failed | failure     |
      | u1        | say that they leave   | u2     | 0      | nothing     |
      | u1        | ask for 60 s of pause | u2     | 0      | nothing     |
      | u1, u2    | say that they leave   | none   | 8      | all leaving |
      | u1, u2    | ask for 60 s of pause | none   | 8      | all paused  |
      | u1        | are evacuated         | u2     | 0      | nothing     |
      | u1, u2    | are evacuated         | none   | 8      | all evacuated |

  Scenario Outline: an order <inputs> inputs fails at once while all upstreams are evacuated, and runs after that
    Given a stage queue with 2 upstreams and 4 pieces per call
    When the upstreams u1, u2 are evacuated
    And the queue receives an order <inputs> inputs and a deadline in 6 s
    Then 2 pieces failed with all evacuated
    When no upstreams are evacuated
    And the queue receives orders of 4 pieces
    Then the queue has called further pieces at u1 only

    Examples:
      | inputs  |
      | with    |
      | without |

  # Guards against calls without space for their results after a zone has returned.
  Scenario: results that an upstream keeps while it is evacuated count when it has returned
    Given a stage queue with 1 upstreams and 4 pieces per call
    And space for 6 results at each upstream
    When the queue receives orders of 4 pieces
    And the upstreams u1 are evacuated
    And every call in progress ends, again and again
    And no upstreams are evacuated
    And the queue receives orders of 4 pieces
    Then the last call reports 0 late pieces, a wait of 0 ms and space for 2 results

  Scenario: an upstream that leaves is not called although all others fail
    Given a stage queue with 2 upstreams and 4 pieces per call
    When the upstreams u1 say that they leave
    And upstream u2 refuses connections
    And the queue receives orders of 1, 1 pieces
    Then the queue has called further pieces at u2 only

  Scenario Outline: an order <inputs> inputs and a deadline in <deadline> s <outcome> while all upstreams pause for 2 s
    Given a stage queue with 2 upstreams and 4 pieces per call
    When the upstreams u1, u2 ask for 2 s of pause
    And the queue receives an order <inputs> inputs and a deadline in <deadline> s
    Then the order <outcome>

    Examples: an order waits if its request has results already and can still end in time
      | inputs  | deadline | outcome                            |
      | with    | 6        | is called when the pause ends      |
      | with    | 1        | fails at once with 2 s to wait     |
      | without | 6        | fails at once with 2 s to wait     |

  # Guards against orders that wait in vain at an owner that does not know their service.
  Scenario: a node returns the pieces of a service that its configuration does not have
    Given a node whose orders go to owner b
    And that node knows no services
    When owner b orders pieces 0, 1 from that node
    Then that node returns pieces 0, 1 to owner b
