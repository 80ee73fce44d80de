Feature: Configuration and directory of upstreams
  A node must never go back to an older configuration, and must neither keep an upstream that
  has left nor lose all upstreams because the store was away.

  Scenario Outline: versions <offered> leave version <in force> in force
    Given a catalogue
    When the catalogue is offered versions <offered>
    Then the catalogue has version <in force>

    Examples: an older or repeated version changes nothing
      | offered | in force |
      | 4       | 4        |
      | 4 7     | 7        |
      | 7 4     | 7        |
      | 4 4 5 3 | 5        |

  Scenario Outline: host "<host>" and path "<path>" match <route>
    Given a catalogue with routes
    Then the catalogue matches "<host>" and "<path>" to <route>

    Examples: the longest prefix of the host decides; hosts differ in case only by spelling
      | host      | path      | route |
      | a.example | /x/1      | short |
      | A.Example | /x/y/1    | long  |
      | a.example | /z/       | none  |
      | b.example | /x/y/     | other |
      | c.example | /x/1      | none  |
      | a.example | /x        | none  |

  Scenario Outline: after <events> the upstream is <state>
    Given a catalogue that lists upstream u1 as ready
    When the catalogue sees <events>
    Then upstream u1 is <state>

    Examples: a lapse is possible only while the store is away and shortly after
      | events                                   | state |
      | removed                                  | gone  |
      | draining                                 | idle  |
      | away, removed                            | ready |
      | away, back, removed                      | ready |
      | away, back, removed, 2.3 s               | gone  |
      | away, removed, back, 2.3 s               | gone  |
      | away, removed, back, 1 s, listed, 2 s    | ready |
      | away, draining, back, removed            | gone  |
      | away, back, 2.3 s, removed               | gone  |
      | away, removed, 10 s                      | ready |
      | away, peer knows, 10 s                   | ready |
      | away, peer dropped                       | gone  |
      | away, removed, peer dropped              | gone  |
      | away, peer misses, 2 s                   | ready |
      | away, peer misses, 2.3 s                 | gone  |
      | away, peer misses, 1 s, peer misses, 1.3 s | gone |
      | away, peer misses, 1 s, peer knows, 2 s  | ready |

  Scenario: an entry older than the known one is ignored
    Given a catalogue that lists upstream u1 as ready
    When the catalogue sees draining
    And the catalogue gets an older entry of u1 as ready
    Then upstream u1 is idle
