Feature: History checker
  A checker that overlooks a broken promise would let every experiment pass.

  Scenario Outline: <name> is found as <found>
    Given history of one answered order, one refused request, a release, a limit and a planned stop
    When history is changed by <changes>
    Then history check finds exactly <found>

    Examples: no violation
      | name                                 | changes               | found |
      | nothing                              | none                  | none  |
      | a refusal with an unknown outcome    | unknown-then-executed | none  |
      | an early dispatch after a withdrawal | dispatch-in-bound     | none  |
      | a dispatch after adding again        | dispatch-after-add    | none  |
      | a restart with an older release      | restart-older         | none  |
      | use within a limit just tightened    | tightened-recently    | none  |
      | a cut request outside planned stops  | cut-in-crash          | none  |
      | the same key of another organisation | key-of-another        | none  |

    Examples: one violation each
      | name                                | changes                 | found             |
      | a second execution of an order      | second-execution        | at-most-once      |
      | an execution after refusal          | executed-after-refusal  | true-refusal      |
      | an execution before refusal         | executed-before-refusal | true-refusal      |
      | a release taken back                | release-back            | release-order     |
      | two notes of one revision           | two-notes               | release-agreement |
      | a late dispatch after a withdrawal  | dispatch-late           | withdrawal-bound  |
      | an answer of another request        | swapped-content         | delivery          |
      | an answer of another organisation   | other-organisation      | delivery          |
      | an answer to nobody                 | answer-unasked          | delivery          |
      | a request without an end            | no-end                  | lost-result       |
      | a refusal that was not the last try | refusal-not-final       | lost-result       |
      | a second answer                     | second-answer           | duplicated-result |
      | use beyond a limit                  | limit-exceeded          | limit             |
      | use beyond a limit tightened before | tightened-before        | limit             |
      | a request cut by a planned stop     | cut-in-stop             | planned-stop      |

    Examples: two violations
      | name                                   | changes                              | found                          |
      | a second execution and a limit         | second-execution limit-exceeded      | at-most-once limit             |
      | a lost and a duplicated result         | no-end second-answer                 | duplicated-result lost-result  |
      | a false refusal and a late dispatch    | executed-after-refusal dispatch-late | true-refusal withdrawal-bound  |
      | a release taken back and a cut request | release-back cut-in-stop             | planned-stop release-order     |
      | two notes and a swapped answer         | two-notes swapped-content            | delivery release-agreement     |

  Scenario: generated valid histories are accepted and every injected violation is found
    When history check runs on generated histories, valid and with one injected violation
    Then history check has found exactly the injected violation each time

  Scenario Outline: the command ends with status <status> for a history that <kind>
    A wrong exit status would let a script take a broken history for a good one.
    When history check command runs on a file that <kind>
    Then history command ends with status <status> and prints "<text>"

    Examples:
      | kind                   | status | text                                |
      | keeps every promise    | 0      | 11 events, 0 violations             |
      | runs an order twice    | 6      | at-most-once key-1: attempt again   |
      | is empty               | 3      | the history holds no events         |
      | has an unknown event   | 3      | .jsonl:2: Invalid value 'dance'     |
      | has a line cut short   | 3      | .jsonl:2: Input data was truncated  |

  Scenario: threads and processes append whole lines to one file
    Lines that mix would make the history of a run unreadable.
    When history is recorded by 3 processes with 2 threads of 200 events each
    Then history file holds 1200 events

  Scenario: the process ends with the status of the check
    An entry point that drops the status would report every history as good.
    When history check process runs on a file that runs an order twice
    Then history process ends with status 6
