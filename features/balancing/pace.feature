Feature: Pace of upstreams
  What a node knows of an upstream's pace is a little old, and may be wrong. Each row is a story of
  what the node has measured ("took X") and what the upstream has stated ("said X"), with the times
  between in ms.

  Scenario Outline: after "<story>" an upstream is believed to have a pace of <low> to <high> from <source>
    When the paces of an upstream are recorded as "<story>"
    Then its pace is believed to be <low> to <high> from <source>

    Examples: without statements the measured times decide, and lose weight with time
      | story                       | low  | high | source   |
      |                             | 1    | 1    | nothing  |
      | took 3                      | 1.6  | 1.6  | measured |
      | took 3, took 3, took 3      | 2.3  | 2.4  | measured |
      | took 3, 4000                | 1.3  | 1.3  | measured |
      | took 3, 60000               | 1    | 1.01 | measured |
      | took 0.5                    | 0.8  | 0.9  | measured |
      | took 100                    | 6.6  | 6.8  | measured |

    Examples: a young statement counts, and gives way when reports stop
      | story                       | low  | high | source   |
      | said 3                      | 1.7  | 1.8  | stated   |
      | said 3, 250                 | 1.3  | 1.4  | stated   |
      | said 3, 2000                | 1    | 1    | nothing  |
      | took 3, said 1              | 1.2  | 1.3  | stated   |
      | took 3, said 1, 2000        | 1.4  | 1.5  | measured |
      | said 100                    | 4.4  | 4.5  | stated   |

    Examples: statements that the times bear out are trusted more
      | story                                           | low  | high | source   |
      | said 3, took 3, said 3, took 3, said 3, took 3, said 3 | 2.5 | 3   | stated |

    Examples: statements that the times contradict are trusted less, whichever way they are wrong
      | story                                           | low  | high | source   |
      | said 5, took 1, said 5, took 1, said 5, took 1, said 5, took 1, said 5 | 1 | 1.45 | stated |
      | said 1, took 3, said 1, took 3, said 1, took 3, said 1, took 3, said 1 | 1.9 | 2.5 | stated |
      | said 1, took 3, 300, said 1, took 3, 300, said 1, took 3, 300, said 1, took 3, 300, said 1, took 3, 300, said 1, took 3 | 2.2 | 2.8 | stated |

    Examples: a statement that everything is usual beside usual times shows nothing
      | story                                           | low  | high | source   |
      | said 1, took 1, said 1, took 1, said 3          | 1.7  | 1.8  | stated   |

  Scenario: a new upstream under the same id starts without a past
    When the paces of an upstream are recorded as "said 5, took 5"
    And the upstream is forgotten
    Then its pace is believed to be 1 to 1 from nothing

  Scenario: any statements and times give a pace within its bounds
    Then any story gives a pace of 0.2 to 20

  Scenario: the statements of many upstreams take bounded memory
    When 10000 upstreams state their slowdown
    Then at most 4096 statements are kept
