Feature: Documentation matches the code
  Guards against pages that name commands, settings or metrics which the code does not have, or that
  omit ones which it has.

  Scenario: the error page lists every result code
    When docs page of errors is rendered from the code
    Then docs page of errors is the committed page

  Scenario: numbers of result codes are unique
    Then docs numbers of result codes are unique

  Scenario: documented commands exist
    Then docs name only commands that exist

  Scenario: the page of exit statuses lists every status
    Then docs page of exit statuses matches the code

  Scenario: the page of metrics lists every metric with its labels
    Then docs page of metrics matches the code

  Scenario: documented settings exist
    Then docs name only settings keys that exist

  Scenario: the operations page lists every log event and metric of serving nodes
    Then docs operations page names every log event and serving metric
