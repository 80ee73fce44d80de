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

  # Guards against a request without an answer: an event of a connection that was closed meanwhile
  # ended the request of the next connection with the same descriptor.
  Scenario: the disconnect of one caller does not end the request of the next connection
    Given a caller that disconnects as its request ends
    When its descriptor is used again by a connection whose request is in progress
    And the disconnect is handled only then
    Then that connection's caller does not count as gone
    When that connection's caller disconnects
    Then it counts as gone

  # Guards against a connection that stays open although its request got no answer.
  Scenario: a connection whose request got no answer is closed
    Given a pass-through server whose handler answers nothing
    When the handler ends without an answer
    Then the caller sees the end of the connection
