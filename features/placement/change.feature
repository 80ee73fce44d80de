Feature: Drained and fenced commands
  A command must not cut off work, and a late command of an earlier planner must not win.

  Scenario Outline: events "<events>" at an engine that <checks> fencing
    When placement runs a change with "<events>" at an engine that <checks> fencing
    Then placement does "<log>"

    Examples:
      | events                                            | checks  | log                          |
      | drain:yes,0 answer:yes                            | checks  | draining command end         |
      | drain:yes,3 wait:5 drain:yes,0 answer:yes         | checks  | draining command end         |
      | drain:no,0 wait:5                                 | checks  | draining                     |
      | drain:yes,2 wait:30                               | checks  | draining end                 |
      | drain:yes,0 answer:no                             | checks  | draining command end         |
      | drain:yes,0 answer:old                            | checks  | draining command             |
      | drain:yes,0 wait:130 answer:yes                   | checks  | draining command command end |
      | drain:yes,0 wait:130 wait:130 wait:130            | checks  | draining command command command end |
      | drain:yes,0 wait:130 drain:no,1 wait:130          | checks  | draining command command end |
      | view:2 drain:yes,0                                | checks  | draining end                 |
      | drain:yes,0 wait:100                              | ignores | draining                     |
      | drain:yes,0 wait:121 answer:yes                   | ignores | draining command end         |

  Scenario: guard of the drain
    Then placement cuts off work only without the wait for the drain

  Scenario: guard of the fence
    Then placement has a late command of an older epoch refused only with the fence
