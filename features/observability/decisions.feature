Feature: Decision log of a serving node
  The decision logs of all nodes together must explain what happened to one request. Writing a line
  must never delay a request.

  Scenario: the timeline of a failed request shows the node, the failed call and its cause
    An operator who gets a complaint has only the request id and the logs to find the cause.
    Given the decision logs of two nodes about a rejected request
    When the timeline of the rejected request is built
    Then the timeline names the node, the stage call that failed and the ejected upstream
    And the timeline leaves out other requests and events long after the request

  # Guards against refusals whose cause lies long before the request, at other nodes.
  Scenario: the timeline of a quarantined request shows the block and the crashes behind it
    Given the decision logs of three nodes about a request that was refused for crashing upstreams
    When the timeline of the rejected request is built
    Then the timeline names the block and the crashes of u1 and u2, and nothing of other traits

  Scenario: a full buffer drops routine lines first, counts them and never blocks
    A slow reader of the log must neither delay requests nor cause the loss of failures.
    Given a decision log whose output blocks
    When 5000 routine lines and then 100 failures are logged
    Then logging has not blocked
    And all 100 failures are written once the output accepts data again
    And the log reports how many lines were dropped

  Scenario: a closed output does not block logging
    A node must go on serving when the process that reads its log has ended.
    Given a decision log whose output is closed
    When 10 routine lines and then 10 failures are logged
    Then logging has not blocked
