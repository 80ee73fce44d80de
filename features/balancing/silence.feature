Feature: Simulated silences and crashes of an upstream
  A sound upstream may say nothing for up to 1.5 s and go on. The simulations use no network: each
  node decides by its own requests and the reports of its peers.

  Scenario Outline: <kind> requests of <nodes> nodes while one of <count> upstreams is <state> for <time> s
    Guards against an upstream that is ejected, streams that are cut and requests that fail, although
    the upstream goes on.

    Given <count> upstreams for <kind> requests of <nodes> nodes
    When one upstream is <state> for <time> s
    Then it is never ejected, and no stream is broken off
    And at most <late> more requests are late than without, and no more fail
    And at most <again> requests reach a second upstream

    Examples: an order that waits is late, a look-up and a stream need not be
      | kind   | nodes | count | state  | time | late | again |
      | stream | 7     | 6     | silent | 0.5  | 40   | 0     |
      | stream | 7     | 6     | silent | 1.0  | 40   | 5     |
      | stream | 7     | 6     | silent | 1.5  | 40   | 12    |
      | stream | 7     | 6     | frozen | 1.0  | 40   | 0     |
      | stream | 7     | 6     | frozen | 1.5  | 40   | 5     |
      | plain  | 7     | 6     | silent | 0.5  | 8    | 10    |
      | plain  | 7     | 6     | silent | 1.0  | 8    | 12    |
      | plain  | 7     | 6     | silent | 1.5  | 8    | 12    |
      | plain  | 7     | 6     | frozen | 0.5  | 12   | 4     |
      | plain  | 7     | 6     | frozen | 1.5  | 12   | 4     |
      | plain  | 81    | 26    | silent | 1.5  | 20   | 8     |

  Scenario Outline: an upstream that was silent for <time> s gets <kind> requests again
    Guards against an upstream that is avoided because its answers took long once.

    Given 6 upstreams for <kind> requests of 7 nodes
    When one upstream is silent for <time> s
    Then it gets at least half of its share of the requests in the 1.5 s after

    Examples: before, it got 0.1 to 0.5 of its share
      | kind   | time |
      | stream | 1.0  |
      | stream | 1.5  |
      | plain  | 1.0  |
      | plain  | 1.5  |

  Scenario Outline: a <kind> upstream that crashes is left as soon as it refuses or resets connections
    Guards against a crash that is taken for a silence.

    Given 6 upstreams for <kind> requests of 7 nodes
    When one upstream crashes
    Then at most <sent> requests are sent to it until its entry ends, and no more fail than without
    And all nodes that sent it requests have ejected it

    Examples: 7 nodes, three seeds; each node finds out once per ejection
      | kind   | sent |
      | stream | 16   |
      | plain  | 29   |

  Scenario Outline: a <kind> upstream that crashes beside one that is silent for <time> s is left as soon
    Guards against a crash that is noticed later, or a silence that counts as a failure, because both
    come at once.

    Given 6 upstreams for <kind> requests of 7 nodes
    When another one crashes while one upstream is silent for <time> s
    Then the silent one is never ejected, and no stream is broken off
    And the crashed one is ejected, gets at most <sent> requests until its entry ends, and no more fail than by the crash alone

    Examples: 14 and 31 without a silence; streams of the silent one go to the other five (14 x 6/5)
      | kind   | time | sent |
      | stream | 0.5  | 17   |
      | stream | 1.0  | 17   |
      | stream | 1.5  | 17   |
      | plain  | 0.5  | 31   |
      | plain  | 1.0  | 31   |
      | plain  | 1.5  | 31   |

  Scenario Outline: a <kind> upstream that loses power is avoided as soon as one that is silent
    Nobody can tell it from a silent one for 1.5 s, but it must not get more requests meanwhile.

    Given 6 upstreams for <kind> requests of 7 nodes
    When one upstream loses power
    Then at most <sent> requests are sent to it until its entry ends, and no more fail than without

    Examples: 15 and 25 when connections that time out ejected it at once
      | kind   | sent |
      | stream | 15   |
      | plain  | 25   |

  Scenario: whatever waits in vain for up to 1.5 s, a byte takes the evidence back
    Guards against an ejection by silence alone, and against evidence that outlives the silence.

    Then no sequence of attempts within a sound silence ejects an upstream
    And any byte ends a silence of any length with all its consequences
    And a refused connection within a silence ejects it at once

  Scenario Outline: answers after <sequence> ms instead of 50 ms look <change>
    Guards against a pace that one silence makes slow, and against a slow upstream that looks fast.

    Given an upstream that is expected to answer within 50 ms
    When its answers take <sequence> ms, one after another
    Then its pace is <change>

    Examples: requests that waited through the same silence are one observation
      | sequence                 | change |
      | 1500                     | usual  |
      | 1500, 50                 | usual  |
      | 1500, 1500               | slow   |
      | 400, 400                 | slow   |
      | 2000                     | slow   |
      | 200                      | slow   |
