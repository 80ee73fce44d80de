Feature: What requests have in common when upstreams crash
  A crash ends sound requests beside the one that caused it. Blocking too late costs upstreams,
  blocking the wrong thing costs sound callers.

  Scenario Outline: after <events> a request with <parts> of <sender> is <fate>
    Given a quarantine
    When it observes <events>
    Then a request with <parts> of <sender> is <fate>

    Examples: a part that three upstreams in a row crashed on is blocked
      | events                                                        | parts | sender | fate    |
      | crash on a+x of o1, crash on a+x of o1                        | a+x   | o1     | sent    |
      | crash on a+x of o1, crash on a+x of o1, crash on a+x of o1    | a+x   | o1     | refused |
      | crash on a+x of o1, crash on b+x of o2, crash on c+x of o3    | d+x   | o4     | refused |
      | crash on a+x of o1, crash on b+x of o2, crash on c+x of o3    | a     | o1     | sent    |
      | late crash on x of o1, late crash on x of o1, late crash on x of o1 | x | o1   | sent    |

    Examples: only requests with all that the crashes had in common are refused
      | events                                                                    | parts | sender | fate    |
      | crash on v+x of o1, crash on v+x of o1, crash on v+x of o1                | v     | o1     | sent    |
      | crash on v+x of o1, crash on v+x of o1, crash on v+x of o1                | v+x   | o2     | sent    |
      | crash on v+x of o1, crash on v+x of o1, crash on v+x of o1, crash on v+x of o2 | v+x | o3  | refused |

    # Guards against a part that is let through for each further sender (BUDGET).
    Examples: of requests with a blocked part, but not all that the crashes had in common, one goes at a time
      | events                                                                | parts | sender | fate    |
      | 3 crashes on v+x of o1, request with v+x of o2                        | v+x   | o3     | refused |
      | 3 crashes on v+x of o1, request with v+x of o2                        | w+x   | o3     | refused |
      | 3 crashes on v+x of o1, request with v+x of o2                        | w     | o3     | sent    |
      | 3 crashes on v+x of o1, request with v+x of o2, 6 s                   | v+x   | o3     | sent    |
      | 3 crashes on v+x of o1, request with v+x of o2, start on v+x          | v+x   | o3     | sent    |
      | 3 crashes on v+x of o1, request with v+x of o2, crash on v+x of o2    | v+x   | o3     | refused |
      | 3 crashes on v+x of o1, request with v+x of o2, crash on v+x of o2, 6 s | v+x | o3     | refused |
      | 3 crashes on v+x of o1, peer trial of x                               | w+x   | o2     | refused |
      | 3 crashes on v+x of o1, peer trial of x                               | v     | o1     | sent    |

    Examples: only requests with all that the crashes had in common are refused, when narrowed as well
      | events                                                                    | parts | sender | fate    |
      | crash on v+x of o1, crash on v+x of o1, crash on v+x of o1, crash on x of o2   | w+x | o3  | refused |
      | crash on v+x of o1, crash on v+y of o1, crash on v+z of o1                | v     | o2     | sent    |
      | answer on v, crash on v+x of o1, crash on v+y of o1, crash on v+z of o1   | v     | o1     | sent    |
      | answer on v, crash on v+x of o1, crash on v+x of o1, crash on v+x of o1   | x     | o1     | refused |

    Examples: a sound answer clears, before a block and after it
      | events                                                                        | parts | sender | fate    |
      | crash on x of o1, crash on x of o1, answer on x, crash on x of o1             | x     | o1     | sent    |
      | crash on x of o1, crash on x of o1, crash on x of o1, answer on x             | x     | o1     | sent    |
      | crash on x of o1, crash on x of o1, crash on x of o1, start on x              | x     | o1     | sent    |
      | crash on x of o1, crash on x of o1, crash on x of o1, peer answer on x        | x     | o1     | sent    |
      | 3 crashes on x of o1, 1 s, answer on x, crash on x of o1, crash on x of o1    | x     | o1     | refused |

    Examples: crashes of other causes
      | events                                                                        | parts | sender | fate    |
      | crash on p of o1, at once crash on p of o1, at once crash on p of o1          | p     | o1     | sent    |
      | crash on x of o1, 700 s, crash on x of o1, crash on x of o1                   | x     | o1     | sent    |
      | crash on x of o1 beside y of o2, crash on x of o1 beside z of o3, crash on x of o1 beside y of o2 | y | o2 | sent |
      | crash on x of o1 beside y of o2, crash on x of o1 beside z of o3, crash on x of o1 beside y of o2 | x | o1 | refused |

    Examples: two suspects that the evidence does not tell apart wait for five crashes
      | events                                                                             | parts | sender | fate |
      | 3 crashes on x of o1 beside y of o2                                                | x     | o1     | sent    |
      | 5 crashes on x of o1 beside y of o2                                                | x     | o1     | refused |

    Examples: one probe after half a minute to 45 s, the next after twice that time
      | events                                                                  | parts | sender | fate    |
      | 3 crashes on x of o1, 29 s                                              | x     | o1     | refused |
      | 3 crashes on x of o1, 46 s                                              | x     | o1     | sent    |
      | 3 crashes on x of o1, 46 s, request with x of o1                        | x     | o1     | refused |
      | 3 crashes on x of o1, 46 s, request with x of o1, 59 s                  | x     | o1     | refused |
      | 3 crashes on x of o1, 46 s, request with x of o1, 91 s                  | x     | o1     | sent    |
      | 3 crashes on x of o1, 46 s, peer probe of x                             | x     | o1     | refused |
      | 3 crashes on x of o1, 46 s, request with x of o1, crash on x of o1, 91 s, request with x of o1, answer on x | x | o1 | sent |

  Scenario: a node that has missed the crashes blocks what a peer's heartbeat tells
    Given a quarantine that has observed 3 crashes on a+x of o1
    When another one hears what it shares
    Then at the other one a request with a+x of o1 is refused
    And at the other one a request with a of o1 is sent

  Scenario: a node that has seen a sound answer tells a peer that still blocks
    Given a quarantine that has observed 3 crashes on x of o1
    When another one that had an answer on x meanwhile hears what it shares
    Then the other one announces the answer within 0.1 s

  # Guards against blocks on the first of several reports of a crash, which may not name its cause.
  Scenario: a crash is judged when all nodes have reported it
    Given a quarantine
    When 3 crashes on x of o1 are reported, each with y of o1 before
    And it observes crash on x of o1
    Then a request with y of o1 is sent
    And a request with x of o1 is refused

  # Guards against evidence of peers that have not found the cause of the same crashes yet.
  Scenario: evidence about crashes whose cause is blocked blocks nothing else
    Given a quarantine
    When it observes 3 crashes on x of o1, 1 s
    And a node that has blocked nothing shares its evidence against y
    Then a request with y of o1 is sent
    And a request with x of o1 is refused

  # Guards against probes that peers put off for ever by repeating crashes which are long known.
  Scenario: older crashes that peers repeat do not put a probe off
    Given a quarantine
    When it observes 20 crashes on x of o1
    And peers repeat older crashes on x of o1 each second for 46 s
    Then a request with x of o1 is sent

  # Guards against the end of an upstream that leaves, which is no crash.
  Scenario Outline: an answer that breaks off is <what> if the entry of its upstream is <state>
    Given a serving state with the upstreams u1, u2 and u3
    When the entry of u1 is <state>
    Then an answer of u1 that breaks off is <what>

    Examples:
      | state    | what                |
      | there    | checked for a crash |
      | gone     | no crash            |
      | replaced | no crash            |
      | draining | no crash            |

  Scenario: memory and messages are bounded whatever crashes
    Given a quarantine
    When 3000 upstreams crash on requests with 32 parts each
    Then it holds at most 1024 suspects and shares at most 4 at a time

  Scenario: no request is refused unless upstreams crashed on requests like it
    Then for any course of crashes and answers, a refused request has a part without a sound answer since three crashes
