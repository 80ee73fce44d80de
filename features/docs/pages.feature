Feature: Pages match the code
  An operator who follows a page must find what it names.

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

  Scenario: names of settings on the pages exist
    Then docs settings keys exist

  Scenario: the page that explains failures lists every log event and metric of serving nodes
    Then docs page of explanations names every log event and serving metric
