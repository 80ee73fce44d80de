Feature: Timers of a node
  Under load a node gets hundreds of messages per second. Timers that ran at each message would
  take the processor time that the messages need.

  Scenario: messages do not run timers that are not due
    Given timers that wait until the next is due in 60 s
    When 200 messages wake the timer thread
    Then the messages have not made the timers run
    And the next due time was computed at most once in 0.004 s

  Scenario Outline: a pause of the process is noticed while the timers <doing>
    Under load the timer thread hardly waits. A pause that goes unnoticed makes all peers seem
    silent.

    Given timers of which the next is due in 60 s
    When the process is paused for 3 s while the timers <doing>
    Then a pause of about 3 s was reported

    Examples:
      | doing |
      | wait  |
      | run   |

  Scenario: a timer that becomes due earlier runs on time
    Given timers that wait until the next is due in 60 s
    When a message makes a timer due in 0.05 s
    Then the timers run when it is due, not after 60 s

  # Guards against a node that sends no heartbeats any more after one unexpected exception (LOST).
  Scenario Outline: timers whose <function> raises <error> go on
    Given timers whose <function> raises <error> once
    Then the timers go on

    Examples:
      | function  | error         |
      | next time | OverflowError |
      | run       | KeyError      |
