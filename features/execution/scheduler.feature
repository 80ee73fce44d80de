Feature: Scheduler
  The scheduler decides which work is sent where and when, and what is rejected.

  Scenario: execution scheduler agrees with a simple oracle
    # Guards against tasks that end twice or never, doubled attempts, late dispatches, wrong
    # "executed: no", lost permits and exceeded budgets.
    Then execution the scheduler machine finds no difference

  Scenario: execution scheduler shares fairly between backlogged organisations
    # Guards against a large organisation that delays small ones.
    Then execution generated backlogs are served within the fairness bound

  Scenario Outline: execution scheduler gives <first> turns of <count> to <weights>
    # Guards against weights that are ignored or inverted.
    Given execution a scheduler with 1 permit
    When execution organisations with the weights <weights> have 40 tasks each
    Then execution of the first <count> dispatches the first organisation gets <first>

    Examples:
      | weights | count | first |
      | 1, 1    | 20    | 10    |
      | 3, 1    | 20    | 15    |
      | 1, 4    | 20    | 4     |

  Scenario: execution scheduler gives no turns back to an organisation that comes late
    # Guards against an organisation that saves up turns while it is idle.
    Given execution a scheduler with 1 permit
    When execution a second organisation comes after 20 tasks of the first
    Then execution of the next 20 dispatches each gets half

  Scenario: execution scheduler lets one organisation use idle capacity
    # Guards against a fair share that is also an upper limit.
    Given execution a scheduler with 8 permit
    When execution organisations with the weights 1 have 8 tasks each
    Then execution all 8 tasks are dispatched at once

  Scenario: execution scheduler takes the earliest deadline of an organisation first
    # Guards against late answers of urgent work behind patient work.
    Given execution a scheduler with 1 permit
    When execution tasks that are due after 5, 3, 4 and 2 s wait
    Then execution they are dispatched in the order 2, 3, 4, 5

  Scenario Outline: execution scheduler admits with <waiting> waiting, <remaining> s left: <outcome>
    # Guards against work that is queued although it cannot end in time.
    Given execution a scheduler with 1 permit
    And execution a service time of 1 s
    When execution <waiting> tasks wait and one with <remaining> s arrives
    Then execution the last task is <outcome>

    Examples:
      | waiting | remaining | outcome              |
      | 0       | 1.5       | queued               |
      | 0       | 0.5       | DEADLINE_UNREACHABLE |
      | 0       | 0         | DEADLINE_PASSED      |
      | 2       | 5.5       | queued               |
      | 2       | 2.5       | DEADLINE_UNREACHABLE |
      | 4       | 60        | QUEUE_FULL           |

  Scenario: execution scheduler expects no long wait because work ends in batches
    # Guards against rejections between two batches, when nothing is dispatched for a while.
    Given execution a scheduler with 8 permit
    And execution a service time of 1 s
    When execution 8 tasks at a time end every second and one comes between with 3 s
    Then execution the last task is queued

  Scenario: execution scheduler does not send a waiting task past its deadline
    # Guards against a dispatch between the deadline and the next tick.
    Given execution a scheduler with 1 permit
    When execution the permit comes free when a waiting task is past its deadline
    Then execution the last task is DEADLINE_PASSED

  Scenario Outline: execution scheduler with <left> ms left in the queue: <outcome>
    # Guards against work that starts although it probably misses its deadline (100 ms, spread 20),
    # which costs a permit for a second longer than rejected work.
    Given execution a scheduler with 1 permit
    When execution the permit comes free when a waiting task has <left> ms left
    Then execution the last task is <outcome>

    Examples:
      | left | outcome              |
      | 121  | queued               |
      | 119  | DEADLINE_UNREACHABLE |

  Scenario: execution scheduler tries a stage again whose estimate exceeds every deadline
    # Guards against an estimate that stays wrong because nothing is measured any more.
    Given execution a scheduler with 8 permit
    And execution a service time of 9 s
    When execution 5 tasks with 2 s arrive one after the other
    Then execution exactly 1 of them is dispatched and the others are refused

  Scenario Outline: execution scheduler after <failure> of a task, idempotent <idempotent>
    # Guards against repeated payments, and against requests lost to one failure.
    Given execution a scheduler with 8 permit
    When execution the first attempt of a task, idempotent <idempotent>, ends with <failure>
    Then execution the task has <attempts> attempts and its permit came back by <returned>

    Examples:
      | failure    | idempotent | attempts | returned   |
      | refused    | yes        | 2        | release    |
      | not sent   | yes        | 2        | cancel     |
      | failed     | yes        | 2        | release    |
      | broken     | yes        | 2        | release_at |
      | timed out  | yes        | 2        | release_at |
      | mismatched | yes        | 2        | release_at |
      | refused    | no         | 1        | release    |
      | not sent   | no         | 1        | cancel     |
      | failed     | no         | 1        | release    |
      | broken     | no         | 1        | release_at |
      | timed out  | no         | 1        | release_at |
      | mismatched | no         | 1        | release_at |

  Scenario: execution scheduler keeps a permit of unknown end until 1 s after the deadline
    # Guards against a concurrency limit exceeded by work that still runs.
    Given execution a scheduler with 8 permit
    When execution the first attempt of a task, idempotent no, ends with broken
    Then execution its permit comes back 1 s after its deadline

  Scenario: execution scheduler retries at another upstream
    # Guards against retries at the upstream that has just failed.
    Given execution a scheduler with 8 permit
    When execution the first attempt of a task, idempotent yes, ends with failed
    Then execution its attempts went to different upstreams

  Scenario: execution scheduler lets a retry that needs another upstream hold up nobody
    # Guards against a queue that waits for one upstream while another has capacity.
    Given execution a scheduler with 8 permit
    When execution only the upstream at which a task has failed has permits
    Then execution the retry and the next task are dispatched there

  Scenario Outline: execution scheduler spends its retry budget on <requests> requests
    # Guards against retries that double the load of a stage in trouble.
    Given execution a scheduler with 1000 permit
    When execution <requests> tasks come of which every fourth fails at first
    Then execution at most <most> additional attempts are made, and at least 3

    Examples:
      | requests | most |
      | 20       | 5    |
      | 200      | 23   |

  Scenario Outline: execution scheduler hedges <case>: <hedges>
    # Guards against hedges without need, past the deadline or in a brown-out.
    Given execution a scheduler with 8 permit
    And execution 40 tasks that took 100 ms each
    When execution a task runs for <age> ms <case>
    Then execution <hedges> hedges are sent

    Examples:
      | age | case                       | hedges |
      | 90  | as usual                   | 0      |
      | 150 | as usual                   | 1      |
      | 150 | and is not idempotent      | 0      |
      | 150 | with 200 ms until deadline | 0      |
      | 150 | while others wait          | 0      |
      | 150 | in a brown-out             | 0      |
      | 150 | after 20 other hedges      | 0      |

  Scenario: execution scheduler completes with the hedge's answer and drops the other
    # Guards against two answers for one request.
    Given execution a scheduler with 8 permit
    And execution 40 tasks that took 100 ms each
    When execution a task runs for 150 ms as usual
    And execution its hedge is answered, and the first attempt later
    Then execution the task completes once, with the hedge's answer

  Scenario: execution scheduler waits for a hedge when the first attempt fails
    # Guards against a third attempt while the second can still answer.
    Given execution a scheduler with 8 permit
    And execution 40 tasks that took 100 ms each
    When execution a task runs for 150 ms as usual
    And execution the first attempt fails while its hedge runs
    Then execution the task waits for the hedge and completes with its answer

  Scenario Outline: execution scheduler with <left> ms left after a failure makes <attempts> attempts
    # Guards against retries that cannot end within the deadline.
    Given execution a scheduler with 8 permit
    When execution an attempt fails when <left> ms are left of work that takes 100 ms
    Then execution the task has <attempts> attempts

    Examples:
      | left | attempts |
      | 500  | 2        |
      | 110  | 1        |
      | 50   | 1        |

  Scenario: execution scheduler states the demand of waiting work
    # Guards against limits whose permits never move to the node that needs them.
    Given execution a scheduler with 1 permit
    When execution organisations with the weights 1 have 7 tasks each
    Then execution the demand is 2 for each upstream and 6 for the team

  Scenario Outline: execution deadlines divide <remaining> s over <stages>: due <due>, latest <latest>
    # Guards against a stage that takes the time of those after it.
    Then execution <remaining> s over stages of <stages> gives due <due> and latest <latest>

    Examples:
      | remaining | stages           | due | latest |
      | 4         | 1+0, 1+0         | 2   | 3      |
      | 4         | 1+1, 1+0         | 3   | 3      |
      | 6         | 1+0.5, 1+0.5     | 3   | 5.5    |
      | 1         | 1+0, 3+0         | 0.25| -2     |
      | 4         | 0+0, 0+0         | 2   | 4      |
