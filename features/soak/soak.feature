Feature: Soak of real node processes under faults
  The checks must detect each broken promise, and a seed must always give the same faults.
  Otherwise a soak could pass by mistake, or a failure could not be reproduced.

  Scenario Outline: evidence of <fault> breaks only "<promise>"
    Given evidence of a soak without violations
    Then no promise is broken
    When the evidence shows <fault>
    Then only "<promise>" is broken

    Examples:
      | fault                                        | promise           |
      | an answer that belongs to another request    | whole answers     |
      | a stream without its third event             | whole answers     |
      | a stream that repeats an event               | whole answers     |
      | an order that ran twice                      | orders run once   |
      | a refused order that ran                     | truthful refusals |
      | a run with a key that was replaced long ago  | removed keys      |
      | an answer long after the deadline            | timely ends       |
      | a refusal long after the last fault          | recovery          |
      | no request served after the last fault       | recovery          |
      | more repeats than the budget allows          | retry budget      |
      | a node that ended by itself                  | exits             |

  Scenario Outline: evidence of <event> breaks no promise
    Given evidence of a soak without violations
    When the evidence shows <event>
    Then no promise is broken

    Examples:
      | event                                    |
      | a stream that breaks off visibly         |
      | a read that ran twice                    |
      | a run with a key that was just replaced  |
      | a refusal while a fault lasts            |

  Scenario: the plan of a seed is reproducible and has no faults in the quiet time
    Then two 30 s plans with seed 5 are equal, differ from seed 6 and leave the quiet time free
    And every kind of fault occurs in the plan of some seed and has an injector

  Scenario Outline: a link that is <mode> passes <forward> and <back>
    Given a proxied connection to an echo server
    When the link is <mode>
    Then it passes <forward> to the server and <back> to the client
    And a new connection passes bytes both ways after the fault

    Examples:
      | mode        | forward | back    |
      | open        | all     | all     |
      | delayed     | all     | all     |
      | cut forward | nothing | nothing |
      | cut back    | all     | nothing |
      | silent      | nothing | nothing |
      | reset       | nothing | nothing |

  Scenario: a node that gets SIGTERM right after a pause begins to leave
    A signal that is delivered to another thread than the main thread must be handled at once, and
    not only when the next signal arrives.

    Given 4 nodes as processes
    When each node is paused, resumed and sent SIGTERM at once
    Then each node has begun to leave within 2 s

  Scenario: a node that gets SIGHUP while it starts keeps running
    The default action of SIGHUP ends a process, so that a node must block SIGHUP before it loads
    its modules. A node that has loaded its modules has logged its first line.

    Given 4 nodes as processes
    When each node is killed, restarted and sent SIGHUP as soon as it blocks SIGHUP
    Then no node had logged anything before SIGHUP, and each is running 1 s later

  Scenario Outline: all promises hold with seed <seed> and <kinds>
    When a soak of 22 s runs with seed <seed> and <kinds>
    Then no promise is broken
    And faults were injected and requests of every kind were served

    Examples:
      | seed | kinds      |
      | 1    | all faults |
