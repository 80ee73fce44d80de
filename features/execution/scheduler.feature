Feature: Scheduler
  The scheduler decides which work is sent to which upstream when, and which work is rejected.

  Scenario: execution scheduler agrees with a simple model in a random state machine
    # Guards against tasks that end twice or never, duplicate attempts, dispatches after the
    # deadline, a wrong "executed: no", lost permits and exceeded retry budgets.
    Then execution the scheduler state machine finds no difference

  Scenario: execution scheduler shares fairly between backlogged organisations
    # Guards against an organisation with much work that delays the work of others.
    Then execution generated backlogs are served within the fairness bound

  Scenario Outline: execution scheduler gives <first> dispatches of <count> to the first of <weights>
    # Guards against weights that are ignored or inverted.
    Given execution a scheduler with a concurrency limit of 1
    When execution organisations with the weights <weights> have 40 tasks each
    Then execution of the first <count> dispatches the first organisation gets <first>

    Examples:
      | weights | count | first |
      | 1, 1    | 20    | 10    |
      | 3, 1    | 20    | 15    |
      | 1, 4    | 20    | 4     |

  Scenario: execution scheduler gives no credit for the time without tasks to a late organisation
    # Guards against an organisation that accumulates credit while it has no tasks.
    Given execution a scheduler with a concurrency limit of 1
    When execution a second organisation submits tasks after 20 tasks of the first
    Then execution of the next 20 dispatches each organisation gets half

  Scenario: execution scheduler lets one organisation use idle capacity
    # Guards against a fair share that limits an organisation although capacity is idle.
    Given execution a scheduler with a concurrency limit of 8
    When execution organisations with the weights 1 have 8 tasks each
    Then execution all 8 tasks are dispatched at once

  Scenario: execution scheduler dispatches the earliest due time of an organisation first
    # Guards against urgent tasks that miss their deadline behind less urgent ones.
    Given execution a scheduler with a concurrency limit of 1
    When execution tasks due in 5, 3, 4 and 2 s wait
    Then execution they are dispatched in the order 2, 3, 4, 5

  Scenario Outline: execution scheduler with <waiting> tasks waiting and <remaining> s left: <outcome>
    # Guards against work that is queued although it cannot end by its deadline.
    Given execution a scheduler with a concurrency limit of 1
    And execution a service time of 1 s
    When execution <waiting> tasks wait and a task with <remaining> s left arrives
    Then execution the last task is <outcome>

    Examples:
      | waiting | remaining | outcome              |
      | 0       | 1.5       | queued               |
      | 0       | 0.5       | DEADLINE_UNREACHABLE |
      | 0       | 0         | DEADLINE_PASSED      |
      | 2       | 5.5       | queued               |
      | 2       | 2.5       | DEADLINE_UNREACHABLE |
      | 4       | 60        | QUEUE_FULL           |

  Scenario: execution scheduler expects no long wait if work ends in batches
    # Guards against rejections between two batches, a time without any dispatch.
    Given execution a scheduler with a concurrency limit of 8
    And execution a service time of 1 s
    When execution 8 tasks end every second and a task with 3 s left arrives in between
    Then execution the last task is queued

  Scenario: execution scheduler does not dispatch a waiting task after its deadline
    # Guards against a dispatch between the deadline and the next tick.
    Given execution a scheduler with a concurrency limit of 1
    When execution the permit becomes free after the deadline of a waiting task
    Then execution the last task is DEADLINE_PASSED

  Scenario Outline: execution scheduler after a wait that leaves <left> ms: <outcome>
    # Guards against work that starts although it probably misses its deadline (it takes 100 ms with
    # a spread of 20 ms). Such work holds its permit until 1 s after the deadline.
    Given execution a scheduler with a concurrency limit of 1
    When execution the permit becomes free when a waiting task has <left> ms left
    Then execution the last task is <outcome>

    Examples:
      | left | outcome              |
      | 121  | queued               |
      | 119  | DEADLINE_UNREACHABLE |

  Scenario: execution scheduler probes a stage whose estimate exceeds every deadline
    # Guards against an estimate that stays wrong because no task runs and updates it.
    Given execution a scheduler with a concurrency limit of 8
    And execution a service time of 9 s
    When execution 5 tasks with a deadline of 2 s arrive one after the other
    Then execution exactly 1 of the tasks is dispatched and the others are rejected

  Scenario Outline: execution scheduler after the failure <failure>, idempotent <idempotent>
    # Guards against repeated non-idempotent tasks, and against requests lost to one failed attempt.
    Given execution a scheduler with a concurrency limit of 8
    When execution the first attempt of a task, idempotent <idempotent>, ends with <failure>
    Then execution the task has <attempts> attempts and the first permit was returned by <returned>

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

  Scenario: execution scheduler keeps the permit of a possibly running attempt 1 s past the deadline
    # Guards against a concurrency limit that is exceeded because the upstream still works.
    Given execution a scheduler with a concurrency limit of 8
    When execution the first attempt of a task, idempotent no, ends with broken
    Then execution the permit is returned 1 s after the deadline of the task

  Scenario: execution scheduler retries at another upstream
    # Guards against retries at the upstream that has just failed.
    Given execution a scheduler with a concurrency limit of 8
    When execution the first attempt of a task, idempotent yes, ends with failed
    Then execution the attempts of the task went to different upstreams

  Scenario: execution scheduler retries at the same upstream if no other has permits
    # Guards against a queue blocked by a retry although an upstream has permits.
    Given execution a scheduler with a concurrency limit of 8
    When execution only the upstream at which a task has failed has permits
    Then execution the retry and the next task are dispatched to this upstream

  Scenario Outline: execution scheduler spends its retry budget on <requests> requests
    # Guards against retries that multiply the load of a failing stage.
    Given execution a scheduler with a concurrency limit of 1000
    When execution <requests> tasks arrive and the first attempt of every fourth fails
    Then execution at most <most> additional attempts are made, and at least 3

    Examples:
      | requests | most |
      | 20       | 5    |
      | 200      | 23   |

  Scenario Outline: execution scheduler hedges a task <case>: <hedges>
    # Guards against hedges that are too early, too late to help, or sent in a brown-out.
    Given execution a scheduler with a concurrency limit of 8
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

  Scenario: execution scheduler completes with the hedge's answer and drops the late one
    # Guards against two answers for one request.
    Given execution a scheduler with a concurrency limit of 8
    And execution 40 tasks that took 100 ms each
    When execution a task runs for 150 ms as usual
    And execution the hedge is answered before the first attempt
    Then execution the task completes once, with the hedge's answer

  Scenario: execution scheduler waits for a hedge when the first attempt fails
    # Guards against a third attempt while the second can still answer.
    Given execution a scheduler with a concurrency limit of 8
    And execution 40 tasks that took 100 ms each
    When execution a task runs for 150 ms as usual
    And execution the first attempt fails while its hedge runs
    Then execution the task waits for the hedge and completes with its answer

  Scenario Outline: execution scheduler makes <attempts> attempts if a failure leaves <left> ms
    # Guards against retries that cannot end by the deadline.
    Given execution a scheduler with a concurrency limit of 8
    When execution an attempt fails when <left> ms are left of work that takes 100 ms
    Then execution the task has <attempts> attempts

    Examples:
      | left | attempts |
      | 500  | 2        |
      | 110  | 1        |
      | 50   | 1        |

  Scenario: execution scheduler reports the demand of waiting work
    # Guards against limits whose permits never move to the node that needs them.
    Given execution a scheduler with a concurrency limit of 1
    When execution organisations with the weights 1 have 7 tasks each
    Then execution the demand is 2 for each upstream and 6 for the team

  Scenario Outline: execution deadlines divide <remaining> s over <stages>: due <due>, latest <latest>
    # Guards against a stage that uses up the time of later stages.
    Then execution <remaining> s over stages of <stages> gives due <due> and latest <latest>

    Examples:
      | remaining | stages           | due | latest |
      | 4         | 1+0, 1+0         | 2   | 3      |
      | 4         | 1+1, 1+0         | 3   | 3      |
      | 6         | 1+0.5, 1+0.5     | 3   | 5.5    |
      | 1         | 1+0, 3+0         | 0.25| -2     |
      | 4         | 0+0, 0+0         | 2   | 4      |
