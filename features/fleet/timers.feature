Feature: Timers of a node
  Under load a node gets hundreds of messages a second; timers that run at each of them take the
  processor time that the messages need.

  Scenario: messages do not make timers run that are not due
    Given timers of which the next is due in 60 s
    When 200 messages wake the timers
    Then the timers have not run for the messages
    And they were asked what is due next at most once in 0.004 s

  Scenario Outline: a pause of the process is noticed while the timers <doing>
    Under load the thread waits little; an unnoticed pause makes all peers seem silent.

    Given timers of which the next is due in 60 s
    When the process is held up for 3 s while the timers <doing>
    Then the timers have noticed a pause of about 3 s

    Examples:
      | doing |
      | wait  |
      | run   |

  Scenario: a timer that becomes due earlier runs on time
    Given timers of which the next is due in 60 s
    When a message makes one due in 0.05 s
    Then the timers run within 0.4 s
