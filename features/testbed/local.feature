Feature: Test bed with node processes
  Figures are worth nothing if the test bed does not do to its nodes what a scenario says.

  Scenario: requests are answered whole and every record reaches the result
    When testbed runs nominal for 2 s on 3 nodes
    Then testbed result breaks no promise and has answers, use of limits, cost and control overhead

  Scenario: nodes can be paused, resumed, killed, replaced and stopped
    Given testbed with 3 nodes
    When testbed pauses node-2
    Then testbed has no status of node-2
    When testbed resumes node-2
    Then testbed has the status of node-2
    When testbed kills node-3 and starts a node in its zone
    Then testbed nodes are node-1, node-2, node-4
    When testbed stops node-1 as planned
    Then testbed nodes are node-2, node-4
    And testbed has ended the processes of node-1 and node-3
