Feature: Following the platform's store
  Every change ends the waiting calls of all nodes: in a fleet of 67 that starts, each node would
  ask the store once for each registration of another.

  Scenario Outline: a node of <nodes> learns 60 changes with a call in <pause> s
    Given a store that a node of a fleet of <nodes> follows
    When 60 changes are made within about 0.6 s
    Then the node knows all 60 changes
    And it has asked at most once in <pause> s for them

    Examples:
      | nodes | pause |
      | 7     | 0.035 |
      | 67    | 0.3   |

  Scenario: a change that comes alone is known at once
    Given a store that a node of a fleet of 67 follows
    When a change is made
    Then the node knows it within 0.2 s
