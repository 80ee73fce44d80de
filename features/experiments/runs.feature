Feature: Experiment runs
  A counter that overlooks a broken promise would let every scenario pass.

  Scenario: a run against a sound cluster breaks no promise
    A counter that is raised by sound behaviour would make all results useless.
    When experiments run against sound clusters
      | scenario        | seconds |
      | nominal         | 2       |
      | node-crash      | 2       |
      | limit-tightened | 2       |
      | racing-releases | 2       |
      | withdrawal      | 5       |
      | planned-stop    | 3       |
    Then experiments find no broken promise and account for every request

  Scenario: a planned stop of a fake node does not cut a request that has arrived in part
    The stop must not depend on when the threads of the fake node run.
    When experiments stop a fake node that has received half of a request
    Then experiments the request is answered after the other half

  Scenario: a run against a cluster with a defect reports it in its counter
    When experiments run against clusters with defects
      | scenario     | seconds | defect                | counter                      |
      | nominal      | 1       | repeats-token         | misdelivered_results         |
      | nominal      | 1       | loses-token           | misdelivered_results         |
      | nominal      | 1       | misdelivers           | misdelivered_results         |
      | nominal      | 1       | swaps-answers         | misdelivered_results         |
      | nominal      | 1       | hangs                 | lost_results                 |
      | nominal      | 1       | runs-order-twice      | duplicate_executions         |
      | nominal      | 1       | refuses-after-running | executed_after_refusal       |
      | nominal      | 1       | exceeds-limit         | limit_violations             |
      | nominal      | 1       | reverts-release       | release_reversions           |
      | withdrawal   | 6       | ignores-withdrawal    | dispatches_after_withdrawal  |
      | planned-stop | 3       | cuts-at-stop          | requests_cut_by_planned_stop |
    Then experiments report each defect in its counter and in no other

  Scenario: refusals that are true are counted and do not break a promise
    When experiments run against clusters with defects
      | scenario | seconds | defect             | counter |
      | nominal  | 1       | refuses-truthfully | none    |
    Then experiments find no broken promise and account for every request
    And experiments count pipeline requests as refused_not_executed

  Scenario: a baseline runs on the same arrivals in reversed order the second time
    A fixed order would credit a policy with a drift of the machine's speed.
    When experiments run nominal with baselines round-robin and least-outstanding
    Then experiments have run the policies in an order that alternates
    And experiments have offered the same requests to policy and baseline

  Scenario: the command writes a result with every documented field and prints its bounds
    When experiments command runs nominal for 1 second against a fake cluster
    Then experiments command has written a result with these fields
      | field                        |
      | scenario                     |
      | profile                      |
      | policy                       |
      | seed                         |
      | duration_s                   |
      | offered                      |
      | attainment                   |
      | attainment_by_organisation   |
      | attainment_by_pipeline       |
      | latency_ms                   |
      | first_token_ms               |
      | between_token_ms             |
      | outcomes                     |
      | lost_results                 |
      | duplicated_results           |
      | misdelivered_results         |
      | executed_after_refusal       |
      | duplicate_executions         |
      | limit_violations             |
      | peak_use_over_limit          |
      | release_lag_s                |
      | release_reversions           |
      | dispatches_after_withdrawal  |
      | requests_cut_by_planned_stop |
      | cost_by_stage                |
      | platform                     |
      | control                      |
      | bounds                       |
      | baseline                     |
    And experiments command "report" prints a row for nominal
    And experiments command "report --bounds" prints a row for limit_violations
    When experiments report draws a plot without the plotting library
    Then experiments command fails and prints "pip install 'chervilrack[plots]'"

  Scenario Outline: <mistake> is refused with a helpful message
    When experiments command is called with <arguments>
    Then experiments command fails and prints "<text>"

    Examples:
      | mistake                  | arguments                             | text                          |
      | an unknown scenario      | run tempest --out /dev/null           | unknown scenario 'tempest'    |
      | an unknown profile       | run nominal --profile x --out y.json  | 'x' is not one of             |
      | a file that is no result | report pyproject.toml                 | pyproject.toml: Expected      |
