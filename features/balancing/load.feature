Feature: Simulated load of engines
  Nodes know the requests of their peers from heartbeats, which are up to 1 s old in a fleet of 80
  nodes. The simulations use no network.

  Scenario Outline: <nodes> nodes do not send all requests between two heartbeats to the same engine
    The pace that a node observes also contains the wait behind requests that it does not know of. An
    engine that no node reports as slow must not attract the requests of all nodes.

    Given 45 engines that read prompts one after another
    When <nodes> nodes send 200 requests/s for 8 s
    Then at least 0.95 of the requests have their first byte within 0.97 s

    Examples: the target is 95 of 100 requests
      | nodes |
      | 1     |
      | 7     |
      | 67    |
      | 81    |
