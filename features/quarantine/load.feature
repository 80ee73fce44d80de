Feature: A fleet under requests that crash engine after engine
  Engines are lost as long as any node lets such requests pass, so that each node has to know what
  the others have seen. Bounds are those of the platform's pages: at most three such requests at
  engines later than the contact time after the fifth crash, and sound requests that begin at least
  half as often as before.

  Scenario Outline: <nodes> nodes and <engines> engines, <rate> crashing requests a second, <trouble>
    When the fleet runs <seconds> s with seeds <seeds>
    Then at most 3 crashing requests reach engines later than <contact> s after the fifth crash
    And less than <refused> of 1000 sound requests are refused

    Examples: one part
      | nodes | engines | rate | trouble                              | seconds | seeds | contact | refused |
      | 7     | 6       | 4    | nothing else                         | 30      | 1-8   | 3       | 1       |
      | 7     | 6       | 0.7  | nothing else                         | 60      | 1-8   | 3       | 1       |
      | 7     | 6       | 4    | 40 requests in flight at an engine   | 20      | 1-4   | 3       | 1       |
      | 7     | 6       | 4    | rare parts                           | 30      | 1-8   | 3       | 10      |
      | 7     | 6       | 4    | one sender                           | 30      | 1-8   | 3       | 1       |
      | 7     | 6       | 4    | one sender, then two others          | 25      | 1-8   | 3       | 1       |
      | 7     | 6       | 17   | one sender, then two others          | 25      | 1-8   | 3       | 1       |
      | 67    | 26      | 8    | one sender, then two others          | 22      | 1     | 3       | 1       |
      | 67    | 26      | 4    | nothing else                         | 20      | 1-2   | 3       | 1       |
      | 195   | 60      | 8    | nothing else                         | 14      | 1     | 5       | 1       |

    Examples: beside other trouble
      | nodes | engines | rate | trouble                              | seconds | seeds | contact | refused |
      | 7     | 6       | 4    | two crashing parts                   | 30      | 1-8   | 3       | 10      |
      | 7     | 6       | 4    | a fifth of the messages lost         | 30      | 1-8   | 3       | 1       |
      | 7     | 6       | 4    | three nodes away for 4 s             | 30      | 1-8   | 3       | 1       |
      | 7     | 6       | 4    | crashes of other causes              | 30      | 1-8   | 3       | 10      |
      | 7     | 6       | 4    | racks that lose power                | 30      | 1-8   | 3       | 10      |
      | 67    | 26      | 4    | a fifth of the messages lost         | 16      | 1     | 3       | 1       |

    # Guards against sound parts that are blocked while one part crashes all engines of a small fleet.
    Examples: so few engines that hardly any request gets an answer
      | nodes | engines | rate | trouble                              | seconds | seeds | contact | refused |
      | 4     | 3       | 4    | three engines, from the start        | 30      | 1-12  | 3       | 1       |
      | 4     | 3       | 4    | three engines, two nodes away        | 30      | 1-12  | 3       | 1       |

    Examples: engines that crash without a common cause
      | nodes | engines | rate | trouble                              | seconds | seeds | contact | refused |
      | 7     | 6       | 0    | crashes of other causes              | 30      | 1-8   | 3       | 10      |
      | 7     | 6       | 0    | racks that lose power                | 30      | 1-8   | 3       | 10      |
