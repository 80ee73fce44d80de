Feature: Serving nodes stop sending what crashes one engine after the other
  A request can crash the engine that begins to answer it. Callers send many such requests, no two
  alike, to all nodes. Each node forgets a request when it fails, so that the next one reaches the
  next engine, and the sound requests of all callers lose their engines.

  # Guards against requests with one part of their prompts that crash one engine after the other.
  Scenario Outline: engines are not crashed for long by a part in place <place>
    Given 3 serving nodes and 6 engine upstreams that a part crashes
    When requests with that part in place <place> come for 12 s beside sound ones
    Then at most 3 of them reach an upstream later than the contact time after the fifth crash
    And later, sound requests are served at least half as often as before

    Examples:
      | place |
      | 2     |
      | 3     |

  # Guards against a block that ends with the last process that knows it (BUDGET).
  Scenario: engines are not crashed again by a part when all nodes have been killed at once
    Given 3 serving nodes and 6 engine upstreams that a part crashes
    When requests with that part in place 2 come for 8 s beside sound ones
    And all nodes are killed at once, and 3 others start
    And requests with that part in place 2 come for 6 s beside sound ones
    Then at most 3 of them reach an upstream later than the contact time after the fifth crash

  # Guards against plain requests and pieces of stages that crash one upstream after the other.
  Scenario Outline: <service> upstreams are not crashed for long by a <kind>
    Given 3 serving nodes and 4 <service> upstreams that a <kind> crashes
    When requests with that <kind> come for 12 s beside sound ones
    Then at most 3 of them reach an upstream later than the contact time after the fifth crash
    And later, sound requests are served at least half as often as before

    Examples:
      | service | kind |
      | plain   | path |
      | first   | key  |
