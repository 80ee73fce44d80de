Feature: Simulated load of pipelines whose requests are admitted
  Three kinds of request begin at the same service, and two of them go on to two further services.
  Without admission, each queue decides for itself which requests will be late: requests pass the
  first queue that turn out to be late at the last one. The simulations use no network.

  Scenario Outline: a burst of <factor> times the rate of <kind> requests makes fewer requests late
    The burst needs more of one service than all its upstreams can do: of the last one where
    requests with three stages come, of the first one where large requests come.

    Given one seed of the stage workload for 79 nodes
    When the workload is simulated for 12 s with <factor> times the rate of <kind> requests from 2 s to 8 s
    And the workload is simulated again with admission
    Then the admission raises the on-time share of all requests
    And the admission raises the share of the results that are used to at least 0.995
    And at least 0.95 of the requests of each kind that arrive from 10 s on are on time

    Examples: the target is 95 of 100 requests
      | kind | factor |
      | long | 2.8    |
      | big  | 3.1    |

  Scenario: an organisation with many requests does not cost those with few their targets
    One of 16 organisations sends 0.7 of the requests, more than the upstreams can serve.

    Given one seed of the stage workload for 79 nodes
    When the workload is simulated with 2.8 times the rate of long requests from 2 s to 7 s with admission, and one of 16 organisations has 0.7 of the requests
    Then at least 0.99 of the requests of the other organisations are on time

  Scenario: callers of refused requests come back one after the other
    Given one seed of the stage workload for 79 nodes
    When the workload is simulated with 4.0 times the rate of long requests from 1 s to 7 s with admission, and one of 16 organisations has 0.3 of the requests
    Then requests are refused, and no 10 of them that are refused at once return within 20 ms

  # Guards against stages that end just in time for an engine without other requests.
  Scenario: requests whose engines take long are on time more often if their stages are due sooner
    Given one seed of the stage workload for 79 nodes
    And engines that take 260 ms to the first byte, in the median
    When the workload is simulated for 8 s with 3.1 times the rate of big requests from 1 s to 6 s
    And the workload is simulated again with admission
    And the workload is simulated again with admission, and the usual time of the engines is known
    Then more requests are on time than in the two simulations before

  # Guards against a kind that is given up on arrival: "tight" requests have the shorter target, are more urgent than "long"
  # ones and need the same three stages, but the usual times of these do not fit into their target.
  Scenario: requests with a short target and three stages are on time in a burst of a less urgent kind
    Given one seed of the stage workload for 70 nodes
    When the workload is simulated for 12 s with admission, and with 2.2 times the rate of long requests from 2 s to 8 s
    Then at least 0.8 of the requests of each kind are on time
