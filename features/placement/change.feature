Feature: Engine changes with drain and fencing numbers
  A command must not interrupt requests that still run on the engine. A command of an earlier
  owner that arrives late must not override a newer one.

  Scenario Outline: a change with "<events>" at an engine that <checks> fencing numbers
    When placement runs a change with "<events>" at an engine that <checks> fencing numbers
    Then the effects of placement are "<log>"

    Examples: events are drain:WITHDRAWN,IN_FLIGHT, answer:SUCCEEDED, wait:SECONDS and view:EPOCH
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

  Scenario: only the wait for the drain protects running requests from a command
    Then placement interrupts requests only if it skips the wait for the drain

  Scenario: only epoch-based fencing numbers make an engine refuse an outdated command
    Then the engine refuses a late command of an older epoch only if fencing numbers include the epoch
