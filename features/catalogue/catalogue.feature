Feature: Configuration and directory of upstreams
  A node must never return to an older version of the configuration. It must drop upstreams that
  have left, but keep those whose registrations lapsed only because the store was unavailable.

  Scenario Outline: after versions <received> version <in force> is in force
    Given a catalogue
    When the catalogue receives versions <received>
    Then the catalogue has version <in force> in force

    Examples: an older or repeated version changes nothing
      | received | in force |
      | 4        | 4        |
      | 4 7      | 7        |
      | 7 4      | 7        |
      | 4 4 5 3  | 5        |

  Scenario Outline: host "<host>" and path "<path>" match <route>
    Given a catalogue with three routes
    Then the catalogue matches "<host>" and "<path>" to <route>

    Examples: the longest path prefix of the host wins; host names are not case-sensitive
      | host      | path      | route |
      | a.example | /x/1      | short |
      | A.Example | /x/y/1    | long  |
      | a.example | /z/       | none  |
      | b.example | /x/y/     | other |
      | c.example | /x/1      | none  |
      | a.example | /x        | none  |

  Scenario Outline: after <events> the upstream is <state>
    Given a catalogue that lists upstream u1 as ready
    When the directory receives <events>
    Then upstream u1 is <state>

    # A peer that the store answers lists u1, keeps u1 although its registration has ended, or has
    # dropped u1.
    Examples: a ready upstream is kept only if it ends while the store is down or up to 2.2 s later
      | events                                          | state    |
      | removed                                         | gone     |
      | draining                                        | draining |
      | store-down, removed                             | ready    |
      | store-down, 3 s, store-up, removed              | ready    |
      | store-down, 3 s, store-up, removed, 2.3 s       | gone     |
      | store-down, removed, 3 s, store-up, 2.3 s       | gone     |
      | store-down, removed, 3 s, store-up, 1 s, listed, 2 s | ready |
      | store-down, 3 s, draining, store-up, removed    | gone     |
      | store-down, 3 s, store-up, 2.3 s, removed       | gone     |
      | store-down, removed, 10 s                       | ready    |
      | store-down, peer lists, 10 s                    | ready    |
      | store-down, peer dropped                        | gone     |
      | store-down, removed, peer dropped               | gone     |
      | store-down, peer keeps, 2 s                     | ready    |
      | store-down, peer keeps, 2.3 s                   | gone     |
      | store-down, peer keeps, 1 s, peer keeps, 1.3 s  | gone     |
      | store-down, peer keeps, 1 s, peer lists, 2 s    | ready    |

    # Guards against a worker that has left and is kept because a watch was cut for a moment (DRAIN).
    Examples: in less than two seconds no registration lapses, which takes three missed renewals
      | events                                          | state    |
      | store-down, 0.2 s, store-up, removed            | gone     |
      | store-down, 1.9 s, store-up, removed            | gone     |
      | store-down, 2.1 s, store-up, removed            | ready    |
      | store-down, 3 s, store-up, 1 s, store-down, 0.2 s, store-up, removed        | ready |
      | store-down, 3 s, store-up, 1 s, store-down, 0.2 s, store-up, removed, 1.3 s | gone  |

  Scenario: an entry with an older revision than the known one is ignored
    Given a catalogue that lists upstream u1 as ready
    When the directory receives draining
    And the catalogue gets an entry of u1 as ready with an older revision
    Then upstream u1 is draining
