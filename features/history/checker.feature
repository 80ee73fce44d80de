Feature: History checker
  The checker decides whether an experiment passes. If it overlooked a violation, an experiment
  would pass although the system broke a promise.

  Scenario Outline: the checker reports <reported> for <name>
    Given a valid history with an order, a refusal, a release, a limit and a planned stop
    When the changes <changes> are made to the history
    Then the history checker reports exactly <reported>

    Examples: no violation
      | name                                 | changes               | reported |
      | an unchanged history                 | none                  | none     |
      | a refusal with unknown outcome       | unknown-then-executed | none     |
      | an early dispatch after a withdrawal | dispatch-in-bound     | none     |
      | a dispatch after re-adding           | dispatch-after-add    | none     |
      | a restart with an older release      | restart-older         | none     |
      | use of a limit lowered recently      | tightened-recently    | none     |
      | a request cut off by a crash         | cut-in-crash          | none     |
      | the same key in two organisations    | key-of-another        | none     |

    Examples: one violation each
      | name                                | changes                 | reported          |
      | a second execution of an order      | second-execution        | at-most-once      |
      | an execution after the refusal      | executed-after-refusal  | true-refusal      |
      | an execution before the refusal     | executed-before-refusal | true-refusal      |
      | a return to an older release        | release-back            | release-order     |
      | two notes for one revision          | two-notes               | release-agreement |
      | a late dispatch after a withdrawal  | dispatch-late           | withdrawal-bound  |
      | the answer to another request       | swapped-content         | delivery          |
      | an answer for another organisation  | other-organisation      | delivery          |
      | an answer without a request         | answer-unasked          | delivery          |
      | a request without a result          | no-end                  | lost-result       |
      | a non-final refusal without a retry | refusal-not-final       | lost-result       |
      | a second answer                     | second-answer           | duplicated-result |
      | use above a limit                   | limit-exceeded          | limit             |
      | use above a limit lowered earlier   | tightened-before        | limit             |
      | a request cut off by a planned stop | cut-in-stop             | planned-stop      |

    Examples: two violations
      | name                                   | changes                              | reported                       |
      | a second execution and excess use      | second-execution limit-exceeded      | at-most-once limit             |
      | a lost and a duplicated result         | no-end second-answer                 | duplicated-result lost-result  |
      | a false refusal and a late dispatch    | executed-after-refusal dispatch-late | true-refusal withdrawal-bound  |
      | an older release and a cut-off request | release-back cut-in-stop             | planned-stop release-order     |
      | two notes and another request's answer | two-notes swapped-content            | delivery release-agreement     |

  Scenario: the checker accepts generated valid histories and reports every injected violation
    When the history checker runs on generated histories without and with one injected violation
    Then the history checker has reported exactly the injected violation each time

  Scenario Outline: the command exits with status <status> for a file that <kind>
    With a wrong exit status, a script would accept a history with violations.
    When the history check command runs on a file that <kind>
    Then the history check command exits with status <status> and prints the words "<text>"

    Examples:
      | kind                   | status | text                                |
      | has no violations      | 0      | 11 events, 0 violations             |
      | runs an order twice    | 6      | at-most-once key-1: attempt again   |
      | is empty               | 3      | the history holds no events         |
      | has an unknown event   | 3      | .jsonl:2: Invalid value 'dance'     |
      | has a truncated line   | 3      | .jsonl:2: Input data was truncated  |

  Scenario: threads and processes append complete lines to the same file
    Interleaved lines would make the history of a run unreadable.
    When a history is recorded by 3 processes with 2 threads of 200 events each
    Then the history file holds 1200 events

  Scenario: the process exits with the status of the command
    An entry point that discards the status would report success for every history.
    When a history check process runs on a file that runs an order twice
    Then the history check process exits with status 6
