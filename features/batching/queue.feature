Feature: Queue of one stage service
  Calls must be full under load, results must fit where they are made, and no piece may get lost
  when an upstream fails or stands still.

  Scenario: pieces that arrive while all upstreams are busy share a call
    Given a stage queue with 1 upstreams, 4 pieces a call
    When the queue gets orders of 1, 1, 1, 1 pieces
    Then the queue has calls of 1 pieces
    When the first call ends
    Then the queue has calls of 3 pieces

  Scenario: an order goes whole into a call if it fits into one
    Given a stage queue with 1 upstreams, 4 pieces a call
    When the queue gets orders of 1, 4, 2, 4 pieces
    And the first call ends
    Then the queue has calls of 4 pieces
    And the call serves 1 orders

  Scenario: a call that would be left partly empty takes a part of the next order
    Given a stage queue with 1 upstreams, 4 pieces a call
    When the queue gets orders of 1, 3, 3 pieces
    And the first call ends
    Then the queue has calls of 4 pieces
    And the call serves 2 orders

  Scenario: an order larger than a call is split
    Given a stage queue with 2 upstreams, 4 pieces a call
    When the queue gets orders of 6 pieces
    Then the queue has calls of 4, 2 pieces

  Scenario Outline: with room for <room> results a call takes <taken> pieces
    Given a stage queue with 1 upstreams, 4 pieces a call
    And room for <room> results at each upstream
    When the queue gets orders of 4 pieces
    Then the queue has calls of <taken> pieces

    Examples:
      | room | taken |
      | 4    | 4     |
      | 3    | 3     |
      | 1    | 1     |

  Scenario: results that are kept take room until they are freed
    Given a stage queue with 1 upstreams, 4 pieces a call
    And room for 4 results at each upstream
    When the queue gets orders of 4, 4 pieces
    And the first call ends
    Then the queue has no calls
    When the results of the first call are freed
    Then the queue has calls of 4 pieces

  Scenario: results that nobody frees give their room back when they expire
    Given a stage queue with 1 upstreams, 4 pieces a call
    And room for 4 results at each upstream
    When the queue gets orders of 4, 4 pieces with 20 s left
    And the first call ends
    And 4.1 s pass
    Then the queue has calls of 4 pieces

  Scenario: pieces of an upstream that stands still are called elsewhere
    Given a stage queue with 2 upstreams, 4 pieces a call
    When the queue gets orders of 2 pieces
    And 0.7 s pass
    Then the queue has calls of 2, 2 pieces
    When the second call ends
    Then the order has 2 results
    When the first call ends
    Then the order has 2 results
    And 2 results are freed

  Scenario Outline: a call that fails as <failure> is repeated <times> times at most
    Given a stage queue with 3 upstreams, 4 pieces a call
    When the queue gets orders of 1 pieces
    And every call fails as <failure>
    Then <times> calls were made and the order failed

    Examples:
      | failure   | times |
      | a reset   | 3     |

  Scenario: an order that cannot end in time is refused at once
    Given a stage queue with 1 upstreams, 4 pieces a call
    When the queue gets orders of 4, 4, 4, 4 pieces with 0.9 s left
    Then the last order is refused as late

  Scenario: the more urgent rank goes first
    Given a stage queue with 1 upstreams, 4 pieces a call
    When the queue gets orders of 4 pieces
    And the queue gets orders of 4 pieces of rank 2
    And the queue gets orders of 4 pieces of rank 0
    And the first call ends
    Then the last call serves rank 0

  Scenario Outline: pieces with inputs in z2 go to <zone> when the upstream of z2 is <state>
    Given a stage queue with 2 upstreams, 4 pieces a call
    And the upstream of z2 is <state>
    When the queue gets an order with inputs in z2, due in <due> s
    Then the queue calls an upstream of <zone>

    Examples: moving results between zones is worth a wait, but not the target
      | state | due | zone |
      | free  | 2   | z2   |
      | busy  | 2   | none |
      | busy  | 0.5 | z1   |

  Scenario: a restarted node's orders are not mixed with those of its predecessor
    Given two processes of one node
    Then their order numbers differ

  Scenario Outline: inputs are reported as read <when> if <condition>
    Given a stage queue with 1 upstreams, 4 pieces a call
    When the queue gets an order with 2 pieces that read inputs
    And <condition>
    And 0.1 s pass
    Then the inputs of the order are <state>

    Examples: a call that may wait behind another owner's has not read its inputs yet
      | condition                        | state  | when  |
      | nothing else happens             | read   | soon  |
      | the queue was disturbed          | unread | later |

  Scenario Outline: after <time> s the inputs of a call that reads 2 times <size> MB are <state>
    Large calls read for longer than small ones; inputs that are freed before are gone.

    Given a stage queue with 1 upstreams, 4 pieces a call
    When the queue gets an order with 2 pieces that read <size> MB each
    And <time> s pass
    Then the inputs of the order are <state>

    Examples: over a link of 1250 MB/s
      | size | time | state  |
      | 0.1  | 0.05 | read   |
      | 50   | 0.05 | unread |
      | 50   | 0.11 | unread |
      | 50   | 0.13 | read   |

  Scenario: inputs are not read before their call was sent
    On a busy node the thread that sends a call runs late.

    Given a stage queue with 1 upstreams, 4 pieces a call
    And calls are not sent when they start
    When the queue gets an order with 2 pieces that read inputs
    And 0.15 s pass
    Then the inputs of the order are unread
    When the call is sent
    And 0.05 s pass
    Then the inputs of the order are read

  Scenario: an order that has become hopeless is refused while it waits
    Given a stage queue with 1 upstreams, 4 pieces a call
    When the queue gets orders of 4 pieces
    And the queue gets orders of 4 pieces with 0.95 s left
    And the queue gets orders of 4, 4 pieces of rank 0 and more urgent
    And the first call ends
    Then the order with 0.95 s left is refused as late

  Scenario Outline: pieces <refused> of 4 find no room and the next call takes <taken> pieces
    Given a stage queue with 1 upstreams, 4 pieces a call
    And room for 12 results at each upstream
    When the queue gets orders of 4, 4 pieces
    And the first call ends without room for pieces <refused>
    And 0.05 s pass
    Then the queue has calls of <taken> pieces

    Examples: one piece can fail by itself, a full upstream refuses all that follow
      | refused    | taken |
      | 0          | 4     |
      | 3          | 4     |
      | 1, 2, 3    | none  |
      | 0, 1, 2, 3 | none  |

  Scenario Outline: after a call with <failure> at its <attempt> call, inputs are reported as read <when>
    Given a stage queue with 1 upstreams, 4 pieces a call
    When a piece fails with <failure> at its <attempt> call
    And the queue gets an order with 2 pieces that read inputs
    And 0.1 s pass
    Then the inputs of the order are <state>

    Examples: a failed piece must not keep the inputs of all others for seconds
      | failure    | attempt | state  | when  |
      | no room    | first   | read   | soon  |
      | error      | first   | read   | soon  |
      | input gone | second  | read   | soon  |
      | input gone | first   | unread | later |

  Scenario: results that were read are kept until their space is needed
    Given a stage queue with 1 upstreams, 4 pieces a call
    And room for 8 results at each upstream
    When the queue gets orders of 4 pieces
    And the first call ends
    And the results of the first call have been read
    Then 0 results are freed
    When the queue gets orders of 4, 4 pieces
    Then 4 results are freed

  Scenario: results that could not be freed are not freed again and keep their space
    Given a stage queue with 1 upstreams, 4 pieces a call
    And room for 4 results at each upstream
    And freeing results fails
    When the queue gets orders of 4, 4 pieces
    And the first call ends
    And the results of the first call have been read
    And 1 s pass
    Then 4 results are freed
    And the queue has no calls

  Scenario: final results are spare once the request's upstream has read them, and again after a restart
    Given a request with a stage of 2 pieces whose results it reads itself
    When the stage has its results
    Then no results are spare
    When the request's upstream has read its inputs
    Then 2 results are spare, once
    When the results have vanished and are made again
    Then no results are spare

  Scenario: one vanished input ends all waiting pieces of its order
    Given a stage queue with 1 upstreams, 4 pieces a call
    When the queue gets orders of 7 pieces
    And the first call ends with a vanished input
    Then 4 pieces of the order have failed for a vanished input
    And the queue has no calls

  Scenario Outline: results go back to the owner that made them, <state>
    Given a node whose orders go to owner b
    When owner b produces a result and c becomes the owner of the queue
    And owner b is <state>
    And the node releases the result
    Then owner <owner> gets the release

    Examples: an owner that is not told counts the space as taken for seconds
      | state | owner |
      | alive | b     |
      | gone  | c     |

  Scenario: a queue that another node owns now gives back what waits, but not what is in calls
    Given a stage queue with 1 upstreams, 4 pieces a call
    When the queue gets orders of 6 pieces
    And the queue is handed over
    Then 2 pieces of the order are given back
    When the first call ends
    Then the order has 4 results
    And the queue has no calls

  Scenario: pieces that come back to an owner join those that it still calls
    Given a stage queue with 1 upstreams, 4 pieces a call
    When the queue gets orders of 6 pieces
    And the queue is handed over
    And the pieces given back come again
    And the first call ends
    Then the queue has calls of 2 pieces

  Scenario: pieces that an owner gives back are ordered from its successor
    Given a node whose orders go to owner b
    When the node orders pieces 0, 1, 2 and b returns pieces 1, 2
    Then pieces 1, 2 are ordered from owner c

  Scenario Outline: an owner that <answer> confirm is passed over after <time> ms
    A second owner calls the same upstreams as the first, and both find them full.

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

  Scenario: an owner that has confirmed an order is not passed over
    Given a node whose orders go to owner b
    When the node orders pieces and owner b does confirm
    Then the order stays with its owner
