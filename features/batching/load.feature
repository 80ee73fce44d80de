Feature: Stage load without network
  Fixed time a call makes full calls the capacity of the stages. These plays have the rates and
  sizes of two users' sheets, with arrivals in groups, and bursts and a crash as on heavy days.

  Scenario Outline: a calm day of <sheet> is served on time
    Given the stage load of <sheet>
    When it is played for 34 s
    Then of each kind at least 0.95 are on time

    Examples: the target is 95 in 100
      | sheet       |
      | four zones  |
      | three zones |

  Scenario Outline: a burst of <kind> of <sheet>, <factor> times its rate, fails nobody
    Given the stage load of <sheet>
    When it is played for 34 s with <factor> times the rate of <kind> from 10 s to 16 s
    Then at most 0.001 fail
    And no kind is on time less often than a less urgent one by over 0.15

    Examples: pattern "burst of one kind"
      | sheet       | kind | factor |
      | four zones  | long | 2.3    |
      | four zones  | big  | 2.3    |
      | three zones | long | 2.3    |
      | three zones | big  | 2.3    |

  Scenario Outline: a burst while one upstream of the first stage of <sheet> is down
    Given the stage load of <sheet>
    And upstream 1 of the first stage is down from 9 s to 15 s
    When it is played for 34 s with 2.3 times the rate of big from 10 s to 16 s
    Then at most 0.01 fail

    Examples: pattern "burst meets crash"
      | sheet       |
      | four zones  |
      | three zones |

  Scenario Outline: <nodes> nodes that batch alone serve less of <sheet> than one owner
    Given the stage load of <sheet>
    When it is played for 34 s with 1.6 times the rate of all from 10 s to 16 s
    And it is played again by <nodes> nodes that batch alone
    Then one owner earns more, with fuller calls

    Examples: pattern "pieces of many nodes meet"
      | sheet       | nodes |
      | four zones  | 7     |
      | three zones | 6     |

  Scenario Outline: pieces that fail by themselves neither delay <sheet> nor waste results
    Given the stage load of <sheet>
    And 0.004 of the pieces fail by themselves
    When it is played for 34 s
    Then of each kind at least 0.95 are on time
    And at most 0.005 of the results are made for nothing

    Examples: pattern "single pieces fail", the target is 95 in 100
      | sheet       |
      | four zones  |
      | three zones |

  Scenario Outline: a burst of <kind> of <sheet> while pieces fail by themselves fails nobody
    Given the stage load of <sheet>
    And 0.004 of the pieces fail by themselves
    When it is played for 34 s with 2.3 times the rate of <kind> from 10 s to 16 s
    Then at most 0.005 fail
    And no kind is on time less often than a less urgent one by over 0.15

    Examples: pattern "burst meets failing pieces"
      | sheet       | kind |
      | four zones  | long |
      | four zones  | big  |
      | three zones | long |
      | three zones | big  |
