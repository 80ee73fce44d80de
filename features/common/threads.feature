Feature: Each long-lived thread goes on after an exception in what it handles
  Guards against processes that run on without one of their threads (second report of the incident LOST).

  Scenario Outline: the thread "<thread>" goes on after exceptions of <what>
    Given the thread "<thread>", of which <what> raises an exception at first
    Then the thread "<thread>" does its work afterwards
    And each exception of the thread "<thread>" is counted

    Examples:
      | thread    | what                           |
      | timers    | the next due time              |
      | timers    | a tick                         |
      | timers    | the report of a pause          |
      | ticker    | a tick                         |
      | ticker    | the test for idleness          |
      | beat      | a periodic action              |
      | beat      | the report of a delay          |
      | callers   | the callback of another caller |
      | refuser   | a connection                   |
      | refuser   | the end of a connection        |
      | peering   | a peer's address               |
      | peering   | the frame of a message         |
      | peering   | the handler of a message       |
      | peering   | the poller                     |
      | decisions | a line                         |
      | vm-list   | the list of VMs                |
      | vm-list   | the handler of the list        |
      | watch-a/  | the need for a watch           |
      | watch-a/  | the handler of changes         |

  Scenario Outline: the timers of a serving node run although <what> raises an exception each time
    # Guards against one part of a node that stops the timers of all others.
    Given the timers of a serving node, of which <what> raises an exception each time
    When the timers are due 3 times
    Then all other timers ran 3 times
    And the timers were due again after the usual time

    Examples:
      | what            |
      | the heartbeat   |
      | the fleet       |
      | the expiry      |
      | the queues      |
      | the change feed |

  Scenario: one line that cannot be written costs that line
    When a decision log gets 3 lines, of which the second cannot be encoded
    Then the first and the third are written, and one is counted as dropped
