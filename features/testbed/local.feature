Feature: Test bed with node processes
  Guards against experiment results that are wrong because the test bed did not carry out the
  faults of a scenario (pause, kill, stop) on its node processes.

  Scenario: requests are answered completely and the result includes the records of all processes
    When testbed runs the nominal experiment for 2 s on 3 nodes
    Then testbed result violates no safety bound and has answers, limit use, cost and control overhead

  Scenario: node processes can be paused, resumed, killed, replaced and stopped
    Given testbed with 3 nodes
    When testbed pauses node-2
    Then testbed gets no status from node-2
    When testbed resumes node-2
    Then testbed gets the status of node-2
    When testbed kills node-3 and starts a node in its zone
    Then testbed nodes are node-1, node-2, node-4
    When testbed stops node-1 as planned
    Then testbed nodes are node-2, node-4
    And testbed has ended the processes of node-1 and node-3
