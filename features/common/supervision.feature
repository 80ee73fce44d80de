Feature: Long-lived threads go on after any exception
  Guards against a thread that ends by an exception that its loop did not expect, while its process keeps running without it
  (second report of the incident LOST), and against a loop that fails and is repeated without a pause.

  Scenario Outline: a loop that raises <errors> and then works is called again after pauses of at most <pauses> s
    Given a supervised loop that raises <errors> and then returns
    When the loop is run
    Then it was called <calls> times, with pauses between half of and at most <pauses> s
    And <failures> failures are counted for its thread

    Examples:
      | errors                                     | calls | pauses                       | failures |
      | nothing                                    | 1     |                              | 0        |
      | 1 RecursionError                           | 2     | 0.1                          | 1        |
      | 1 MemoryError                              | 2     | 0.1                          | 1        |
      | 6 KeyError                                 | 7     | 0.1, 0.2, 0.4, 0.8, 1, 1     | 6        |
      | 2 KeyError, 2 OverflowError                | 5     | 0.1, 0.2, 0.4, 0.8           | 4        |
      | 3 KeyError, 10 s of work, 2 KeyError       | 6     | 0.1, 0.2, 0.4, 0.1, 0.2      | 5        |
      | 3 KeyError, 9 s of work, 2 KeyError        | 6     | 0.1, 0.2, 0.4, 0.8, 1        | 5        |

  Scenario: a loop is not called again once it has to end
    Given a supervised loop that raises 5 KeyError and then returns
    When the loop is run, and has to end after 2 pauses
    Then it was called 2 times, with pauses between half of and at most 0.1, 0.2 s

  Scenario Outline: <errors> give <lines>
    Given a supervised loop that raises <errors> and then returns
    When the loop is run
    Then <lines> were logged, each with the thread, what it handled and a reason of bounded length

    Examples: once for each kind, and again after a minute with the number that was left out
      | errors                                        | lines                              |
      | 40 KeyError                                   | 1 line                             |
      | 5 KeyError, 5 OverflowError                   | 2 lines                            |
      | 3 KeyError, 61 s of work, 1 KeyError          | 2 lines, the last counting 2 more  |
      | 1 LongError                                   | 1 line                             |

  Scenario Outline: a thread whose function raises <error> goes on, and ends when it has to
    Given a supervised thread whose function raises <error> once
    Then its function is called again
    And the thread ends when its context does, within its pause after an exception too

    Examples:
      | error          |
      | RecursionError |
      | KeyError       |

  Scenario: failures are exported by thread
    Given a supervised loop that raises 3 KeyError and then returns
    When the loop is run
    Then its failures are exported as a counter of 3, also when it is read twice
