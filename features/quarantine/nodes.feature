Feature: Serving nodes stop sending what crashes one engine after the other
  A request can crash the engine that begins to answer it. Callers send many such requests, no two
  alike, to all nodes. Each node forgets a request when it fails, so that the next one reaches the
  next engine, and the sound requests of all callers lose their engines.

  # Guards against requests with one part of their prompts that crash one engine after the other.
  Scenario Outline: engines are not crashed for long by a part in place <place>
    Given 3 serving nodes and 6 engines that a part of a prompt crashes
    When requests with that part in place <place> come for 12 s beside sound ones
    Then at most 3 of them reach an engine later than the contact time after the fifth crash
    And later, sound requests are served at least half as often as before

    Examples:
      | place |
      | 2     |
      | 3     |
