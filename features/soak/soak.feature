Feature: Soak of real node processes under faults
  A soak whose checks overlook a broken promise, or whose faults differ between two runs of a
  seed, proves nothing.

  Scenario Outline: what callers and upstreams saw with <fault> breaks "<promise>"
    Given evidence of a soak in which all went well
    Then no promise is broken
    When the evidence shows <fault>
    Then only "<promise>" is broken

    Examples:
      | fault                                        | promise           |
      | an answer that belongs to another request    | whole answers     |
      | a stream without its third event             | whole answers     |
      | a stream with an event twice                 | whole answers     |
      | an order that ran twice                      | orders run once   |
      | a refused order that ran                     | truthful refusals |
      | a run with a key that was replaced long ago  | removed keys      |
      | an answer long after the deadline            | timely ends       |
      | a refusal long after the last fault          | recovery          |
      | no request served after the last fault       | recovery          |
      | more repeats than the budget allows          | retry budget      |
      | a node that ended by itself                  | exits             |

  Scenario Outline: what callers and upstreams saw with <event> breaks nothing
    Given evidence of a soak in which all went well
    When the evidence shows <event>
    Then no promise is broken

    Examples:
      | event                                    |
      | a stream that breaks off visibly         |
      | a lookup that ran twice                  |
      | a run with a key that was just replaced  |
      | a refusal while a fault lasts            |

  Scenario: a seed draws the same faults again, and none in the quiet time
    Then seed 5 draws the same 30 s twice, others than seed 6, and leaves the end quiet
    And every kind of fault is drawn by some seed and has an injector

  Scenario Outline: a link that is <mode> passes <forward> and <back>
    Given a proxied connection to an echo server
    When the link is <mode>
    Then it passes <forward> to the server and <back> to the client
    And after the fault a new connection passes all

    Examples:
      | mode        | forward | back    |
      | open        | all     | all     |
      | delayed     | all     | all     |
      | cut forward | nothing | nothing |
      | cut back    | all     | nothing |
      | silent      | nothing | nothing |
      | reset       | nothing | nothing |

  Scenario: a node that is ordered to stop right after a pause begins to leave
    A signal that another thread takes must not wait for the next one.

    Given 4 nodes as processes
    When each node is paused, resumed and ordered to stop at once
    Then each node has begun to leave within 2 s

  Scenario: a node that gets the signal to reload while it starts goes on
    Given 4 nodes as processes
    When each node is killed, and gets the signal to reload when it has blocked it again
    Then no node had loaded its modules by then, and each is running 1 s later

  Scenario Outline: promises hold with seed <seed> and <kinds>
    When a soak of 22 s runs with seed <seed> and <kinds>
    Then no promise is broken
    And faults were injected and requests of every kind were served

    Examples:
      | seed | kinds      |
      | 1    | all faults |
