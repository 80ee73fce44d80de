Feature: Callers that leave a pass-through server
  A caller that has read its whole answer may close before the node has finished the request; it
  must not be counted as gone, or answered requests are missing in the figures. One that leaves
  earlier must be noticed, or work goes on for nobody.

  Scenario Outline: a caller that leaves <moment> is <counted>
    Given a pass-through server whose handler answers <answer>
    When a caller leaves <moment>
    Then the caller is <counted>

    Examples:
      | answer   | moment                 | counted      |
      | whole    | after the whole answer | not gone     |
      | in parts | after the whole answer | not gone     |
      | whole    | before the answer      | gone         |
      | in parts | before the answer      | gone         |
      | in parts | after the first part   | gone         |
