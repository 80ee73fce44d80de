Feature: Documentation matches the code
  Guards against pages that name commands, settings, metrics or codes which the code lacks,
  and against pages that omit some of them.

  Scenario: the error reference lists every result code
    When docs error reference is generated from the code
    Then docs generated error reference equals the committed page

  Scenario: result codes have unique numbers
    Then docs result codes have unique numbers

  Scenario: every documented command exists
    Then docs contain only commands that exist

  Scenario: the exit status reference lists every status
    Then docs exit status reference matches the code

  Scenario: the metrics reference lists every metric with its labels
    Then docs metrics reference matches the code

  Scenario: every documented settings key exists
    Then docs contain only settings keys that exist

  Scenario: the operations guide lists every log event and metric of serving nodes
    Then docs operations guide lists every log event and serving metric
