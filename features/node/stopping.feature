Feature: A planned stop of a native node
  A node that leaves the cluster answers every request that it has read, also those that upstreams
  never answer: each has a deadline that is shorter than the time for which the node waits.

  # Guards against connections that are closed without an answer when a native node has left.
  Scenario Outline: a <kind> request at upstreams that <behave> gets an answer although the node leaves
    Given a running node with all components
    And all its upstreams <behave>
    When the node leaves while an upstream has a <kind> request with a deadline of 2 s
    Then the caller gets a complete answer, <executed>
    And the node has left with all requests ended

    Examples:
      | kind           | behave             | executed              |
      | idempotent     | hang               | whose outcome unknown |
      | non-idempotent | hang               | whose outcome unknown |
      | non-idempotent | are ten times slow | with status 200       |
