Feature: Decision log of a serving node
  When a user complains, only logs tell why. They must answer that for one id across nodes, and
  writing them must never hold up a request.

  Scenario: the story of a failed request names where, who and why
    Given the decision logs of two nodes about a rejected request
    When the story of the rejected request is told
    Then the story names the node, the stage call that failed and the ejected upstream
    And the story leaves out what other requests and distant times say

  Scenario: a full buffer drops routine lines first, counts them and never waits
    Given a decision log whose reader stands still
    When 5000 routine lines and then 100 failures are noted
    Then noting took no wait
    And after the reader goes on all 100 failures are written
    And the log reports how many lines were dropped

  Scenario: a closed output stops nothing
    Given a decision log whose output is closed
    When 10 routine lines and then 10 failures are noted
    Then noting took no wait
