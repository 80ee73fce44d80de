Feature: Admission of orders for first stages
  The owner of the queue of a first stage decides for all nodes which orders begin. Its upstreams
  produce 100 pieces a second at each of the services "first", "second" and "third".

  Scenario Outline: an order for <pieces> pieces of a service with <ahead> pieces ahead is <outcome>
    Given an admission for services of 100 pieces a second
    When an order for <ahead> pieces of first is submitted
    And an order for <pieces> pieces of first is submitted
    Then the second order is <outcome>

    Examples: work of 250 ms may be ahead, at 0.88 of the rate
      | ahead | pieces | outcome  |
      | 20    | 30     | admitted |
      | 24    | 1      | waiting  |

  Scenario: an order that waits for one service does not hold up orders for others
    Given an admission for services of 100 pieces a second
    When an order for 30 pieces of third is submitted
    And an order for 1 pieces of first and 5 of third is submitted
    And an order for 1 pieces of first is submitted
    Then the second order is waiting
    And the third order is admitted

  Scenario: a less urgent order does not take the room that a more urgent one waits for
    Given an admission for services of 100 pieces a second
    When an order for 40 pieces of third is submitted
    And an order for 5 pieces of third due in 3 s is submitted
    And an order for 5 pieces of third due in 2 s is submitted
    And 250 ms pass
    Then the third order is admitted before the second

  Scenario Outline: the order for <pieces> pieces gives way when not all orders can meet their targets
    Given an admission for services of 100 pieces a second
    When an order for 40 pieces of first is submitted
    And orders for <all> pieces of first due in 1.1 s are submitted
    And 400 ms pass
    Then the orders for <early> pieces have been admitted first

    Examples: the largest misses its target, so that the others can meet theirs
      | pieces | all        | early     |
      | 60     | 60, 10, 10 | 10, 10    |
      | 70     | 10, 70, 12 | 10, 12    |

  Scenario Outline: an order of which <left> ms are left with work of 1 s ahead is <outcome>
    Given an admission for services of 100 pieces a second
    When an order for 95 pieces of first is submitted
    And an order for 1 pieces of first due in 0.1 s with a deadline in <left> ms is submitted
    And 50 ms pass
    Then the second order is <outcome>

    Examples: the first stage takes up to 600 ms, of which 250 ms may be a wait
      | left | outcome |
      | 2000 | waiting |
      | 1200 | refused |

  Scenario: callers of refused orders are told to come back one after the other, when room is expected
    Given an admission for services of 100 pieces a second
    When an order for 190 pieces of first is submitted
    And orders for 10, 10, 10 pieces of first due in 0.1 s with a deadline in 700 ms are submitted
    And 50 ms pass
    Then the refused callers come back after 2.22, 2.34, 2.45 s

  Scenario: orders of a node that has left are forgotten
    Given an admission for services of 100 pieces a second
    When an order for 40 pieces of first is submitted
    And an order of node c for 5 pieces of first is submitted
    And node c leaves the fleet
    Then no order waits

  Scenario: an owner that has lost its queue hands the waiting orders back, and the next one starts empty
    Given an admission for services of 100 pieces a second
    When an order for 40 pieces of first is submitted
    And an order for 5 pieces of first is submitted
    Then the waiting orders of first are handed back once
    And a new owner admits them at once

  Scenario Outline: routes at <services> with targets of <targets> ms and priorities <priorities> <compete>
    Given routes that begin at <services> with targets of <targets> ms, the first of <stages> stages
    And their priorities are <priorities>
    Then the routes <compete>

    Examples: the most urgent route, by target and by priority, ends where the others go on
      | services            | targets          | priorities | stages | compete        |
      | first, first        | 2000, 1000       | 1, 0       | 3      | compete        |
      | first, first        | 2000, 1000       | 0, 0       | 3      | do not compete |
      | first, first        | 2000, 1000       | 0, 1       | 3      | do not compete |
      | first, first        | 1000, 2000       | 0, 1       | 3      | do not compete |
      | first, first        | 1000, 2000       | 1, 0       | 3      | do not compete |
      | first, first        | 1000, 1000       | 1, 0       | 3      | do not compete |
      | first, first        | 2000, 2000       | 0, 0       | 3      | do not compete |
      | first, first        | 2000, 1000       | 1, 0       | 1      | do not compete |
      | first, other        | 2000, 1000       | 1, 0       | 3      | do not compete |
      | first, first, first | 2000, 1000, 3000 | 1, 0, 2    | 3      | compete        |

  Scenario: the work of an order includes the stages that follow from it
    Given routes that begin at first, first with targets of 1000, 2000 ms, the first of 3 stages
    Then an order of the first route for 2, 6, 10 pieces brings that work to first, second, third

  Scenario Outline: with <upstreams> upstreams, of which <state>, orders <outcome>
    A node decides for services whose queues others own. The pace of their upstreams comes with the
    heartbeats of the owners, in the same way as their suspicions.

    Given a node that admits orders for a service with <upstreams> upstreams of 10 pieces a second
    And <state>
    When orders for 5, 5, 5, 5, 5, 5, 5 pieces arrive there
    Then orders <outcome>

    Examples: work of 250 ms may be ahead, at 0.88 of the rate
      | upstreams | state                                    | outcome               |
      | 5         | all are sound                            | need no admission     |
      | 8         | all are sound                            | are admitted up to 20 |
      | 8         | 4 are reported with a pace of 1.2        | are admitted up to 20 |
      | 8         | 4 are reported with a pace of 4.0        | are admitted up to 15 |
      | 8         | 4 are suspected by this node             | are admitted up to 10 |
      | 8         | 4 leave                                  | are admitted up to 10 |
      | 8         | 4 want a pause                           | are admitted up to 10 |
      | 12        | 6 lie in an evacuated zone               | are admitted up to 15 |
      | 8         | 4 lie in an evacuated zone               | need no admission     |
      | 8         | 8 want a pause                           | need no admission     |

  Scenario Outline: orders that wait when <state> go to the queue, which fails or queues them itself
    Given a node that admits orders for a service with 8 upstreams of 10 pieces a second
    When orders for 150, 15, 5, 5 pieces arrive there
    And <state>
    And the node looks at its orders for 250 ms
    Then all orders have been admitted there

    Examples: without the change, the first order is ahead for 2 s
      | state                      |
      | 8 leave                    |
      | 8 want a pause             |
      | 8 lie in an evacuated zone |
      | 4 lie in an evacuated zone |
      | the service is removed     |

  Scenario: an order for which there is room does not wait because of one that was dropped
    Given an admission for services of 100 pieces a second
    When an order for 40 pieces of first is submitted
    And an order of node c for 5 pieces of first is submitted
    And node c leaves the fleet
    And 300 ms pass
    And an order for 5 pieces of first is submitted
    Then the third order is admitted

  Scenario Outline: orders of priorities <priorities> are planned, and the less urgent one gives way
    Configurations may state any priority of 32 bits.

    Given an admission for services of 100 pieces a second
    When an order for 40 pieces of first is submitted
    And orders of priorities <priorities> for 40 pieces of first due in 1.1 s are submitted
    And 400 ms pass
    Then the second order is admitted
    And the third order is waiting

    Examples:
      | priorities              |
      | 0, 1                    |
      | 5000, 5001              |
      | 0, 2147483647           |
      | -2147483648, 2147483647 |

  # Guards against orders of other nodes that wait for the next heartbeat of their owner.
  Scenario: the timers of an owner are woken when an order of another node has to wait
    Given a node that admits orders for a service with 8 upstreams of 10 pieces a second
    And that node is the owner of the queue
    When node b orders 40 and 5 pieces there
    Then its timers are woken, and due in 50 ms

  # Guards against pieces that are lost when their order comes twice, after changes of owners.
  Scenario: pieces of an order that comes again are added to those that wait
    Given an admission for services of 100 pieces a second
    When an order for 40 pieces of first is submitted
    And an order for 5 pieces of first is submitted
    And the second order is submitted again for segment 3
    And 300 ms pass
    Then the second order is admitted with segments 0, 3

  Scenario Outline: with <count> waiting orders, the admission looks at them every <interval> ms
    Given an admission for services of 100 pieces a second
    When an order for 40 pieces of first is submitted
    And <count> orders for 1 pieces of first are submitted
    Then the admission is due in <interval> ms

    Examples: a look takes some 20 us for each order, and a VM may have half a core
      | count | interval |
      | 1     | 50       |
      | 300   | 50       |
      | 1000  | 150      |
      | 5000  | 250      |

  # Guards against refusals (503) of requests that can be served in time.
  Scenario: an order is not refused because a service that it does not need is full
    Given an admission for services of 100 pieces a second
    When an order for 40 pieces of first is submitted
    And an order for 500 pieces of third is submitted
    And an order for 60 pieces of first due in 0.2 s with a deadline in 2000 ms is submitted
    And an order for 30 pieces of third due in 0.2 s with a deadline in 2500 ms is submitted
    And 300 ms pass
    Then the third order is admitted
    And the fourth order is refused
