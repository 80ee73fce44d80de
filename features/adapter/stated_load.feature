Feature: Loads that upstreams state in their answers
  A node makes no calls to learn the load of upstreams. What they state in the answers that it gets
  anyway must not be lost, and a statement of another upstream must not count.

  Background:
    Given a serving node with stand-ins for the platform

  Scenario Outline: an upstream that answers "<answer>" is <belief>
    Given one scripted plain upstream that sends "<answer>"
    When a caller sends 2 plain requests with a deadline of 1500 ms
    Then the node believes that upstream scripted-0 is <belief>
    And the node has counted <unreadable> unreadable loads

    Examples: every answer of the upstream itself is read, whatever its status
      | answer                             | belief          | unreadable |
      | answer                             | as usual        | 0          |
      | slow answer                        | slowed by its VM | 0         |
      | slow 500                           | slowed by its VM | 0         |
      | slow refusal                       | slowed by its VM | 0         |
      | slow 103, answer                   | slowed by its VM | 0         |
      | slow 421                           | as usual        | 0          |
      | slow foreign answer                | as usual        | 0          |
      | slow refusal of another request    | as usual        | 0          |
      | nonsense-slow answer               | as usual        | 2          |

  Scenario Outline: the load that stage upstream <name> states in its answers is read
    Given upstream <name> states the load "1,0,1,250"
    When callers send staged stream requests until <name> has run one
    Then the node believes that upstream <name> is slowed by its VM

    Examples:
      | name     |
      | first-1  |
      | second-1 |
