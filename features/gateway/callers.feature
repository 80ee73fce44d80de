Feature: Callers that disconnect from a pass-through server
  A caller that has read the whole answer may disconnect before the node has finished the request.
  Counting such a caller as gone would leave answered requests out of the metrics. An earlier
  disconnect must be detected, because the node would otherwise work for an answer nobody reads.

  Scenario Outline: a caller that disconnects <moment> counts as <status>
    Given a pass-through server whose handler answers <answer>
    When the caller disconnects <moment>
    Then the caller counts as <status>

    Examples:
      | answer   | moment                 | status       |
      | whole    | after the whole answer | not gone     |
      | in parts | after the whole answer | not gone     |
      | whole    | before the answer      | gone         |
      | in parts | before the answer      | gone         |
      | in parts | after the first part   | gone         |

  Scenario: a disconnect that is noticed late does not count for a later caller
    # Guards against an executed request that gets no answer because an earlier caller left.
    Given a watch of callers whose thread pauses after each event
    When a caller disconnects and a later one gets its descriptor during the pause
    Then the later caller does not count as gone
    When the later caller disconnects
    Then the later caller counts as gone

  # Guards against a connection that stays open although its request got no answer.
  Scenario: a connection whose request got no answer is closed
    Given a pass-through server whose handler answers nothing
    When the handler ends without an answer
    Then the caller sees the end of the connection

  # Guards against a node that notices no caller's disconnect any more after one action that failed.
  Scenario: a disconnect is noticed after the action of an earlier one has failed
    Given a watch of callers
    When a caller disconnects whose action raises an exception
    And another caller disconnects
    Then the other caller counts as gone
