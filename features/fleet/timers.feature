Feature: Timers of a node
  Under load a node gets hundreds of messages a second; timers that run at each of them take the
  processor time that the messages need.

  Scenario: messages do not make timers run that are not due
    Given timers of which the next is due in 60 s
    When 200 messages wake the timers
    Then the timers have not run for the messages
    And they were asked what is due next fewer than 200 times

  Scenario: a timer that becomes due earlier runs on time
    Given timers of which the next is due in 60 s
    When a message makes one due in 0.05 s
    Then the timers run within 0.4 s
