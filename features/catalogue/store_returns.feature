Feature: What a node believes after the store has come back from an older copy
  The copy is some seconds old. What was written since is gone until the operator and the upstreams have written it
  again, and revisions are given out again.

  # Guards against configurations, removals and blocks that a copy undoes (CONFIG, DRAIN, LOST).
  Scenario Outline: <before> before the return, <after> after it: <time> s later <result>
    Given a node that has listed u1 and u2 in era 1, of which a copy is kept
    When <before> before the return
    And the node lists the copy in era 2, and then <after>
    And <time> s pass at the node
    Then <result>

    Examples: configurations go by their versions
      | before                       | after                      | time | result                     |
      | version 2 is written         | nothing happens            | 0    | version 2 is in force      |
      | version 2 is written         | nothing happens            | 10   | version 2 is in force      |
      | version 2 is written         | version 3 is written       | 0    | version 3 is in force      |
      | version 2 is written         | nothing happens            | 0    | peers get version 2        |

    Examples: an upstream that left is not used again, unless it still is registered when its entry would have lapsed
      | before                       | after                      | time | result                     |
      | u2 ends                      | nothing happens            | 0    | u2 is not known            |
      | u2 ends                      | nothing happens            | 5    | u2 is not known            |
      | u2 ends                      | nothing happens            | 6    | u2 is ready                |
      | u2 ends                      | u2 is written              | 0    | u2 is not known            |
      | u2 ends                      | u2 is written, started anew | 0   | u2 is ready                |
      | u2 ends                      | u2 ends                    | 6    | u2 is not known            |
      | u2 ends                      | the node lists u1 alone    | 6    | u2 is not known            |
      | u2 ends                      | nothing happens            | 0    | peers do not get u2        |
      | u2 drains                    | nothing happens            | 0    | u2 is draining             |
      | u2 drains                    | nothing happens            | 10   | u2 is draining             |
      | u2 drains                    | u2 is written              | 0    | u2 is draining             |
      | u2 drains                    | u2 is written, started anew | 0   | u2 is ready                |
      | u2 drains                    | u2 ends                    | 0    | u2 is not known            |
      | u2 drains                    | nothing happens            | 0    | peers get u2 as draining   |

    Examples: an upstream that registered since has about two seconds to register again
      | before                       | after                      | time | result                     |
      | u3 is written                | nothing happens            | 0    | u3 is ready                |
      | u3 is written                | nothing happens            | 2    | u3 is ready                |
      | u3 is written                | nothing happens            | 2.3  | u3 is not known            |
      | u3 is written                | u3 is written              | 10   | u3 is ready                |
      | u3 drains                    | nothing happens            | 0    | u3 is not known            |
      | u2 is written, started anew  | nothing happens            | 0    | u2 is ready                |
      | u2 is written, started anew  | nothing happens            | 0    | u2 has its later start     |
      | u2 is written, started anew  | u2 is written, started anew | 10  | u2 has its later start     |
      | nothing happens              | nothing happens            | 10   | u2 is ready                |

    Examples: what the new era says, at revisions that were given out before
      | before                       | after                      | time | result                     |
      | nothing happens              | u2 ends                    | 3    | u2 is not known            |
      | nothing happens              | u3 is written              | 0    | u3 is ready                |
      | u1 is written many times     | u2 drains                  | 0    | u2 is draining             |

  Scenario Outline: a node in era 2 drops <what> of era 1
    Given a node that has listed u1 and u2 in era 1, of which a copy is kept
    When nothing happens before the return
    And the node lists the copy in era 2, and then nothing happens
    And <what> of era 1 without u2 arrives
    Then u2 is ready
    And the position is in era 2

    Examples:
      | what              |
      | a listing         |
      | a change          |
      | a peer's state    |
      | a relayed change  |

  Scenario Outline: a node that the store does not answer gets a peer's state of era 2 <contents>: u3 is <state> after <time> s
    Given a node that has listed u1 and u2 in era 1, of which a copy is kept
    When u3 is written before the return
    And the store does not answer the node, and a peer's state of era 2 <contents> arrives
    And <time> s pass at the node
    Then u3 is <state>
    And the position is in era 2

    Examples: the peer may not have known u3
      | contents     | time | state     |
      | without u3   | 0    | ready     |
      | without u3   | 2.3  | not known |
      | with u3      | 10   | ready     |

  Scenario: a follower of an older era lists the store before it applies relayed changes of a later one
    Given a node that has listed u1 and u2 in era 1, of which a copy is kept
    When relayed changes of era 2 arrive
    Then u2 is ready
    And the position is in era 1
    And the node has to watch the store itself

  # Guards against nodes of an older release that take a revision of a later era for one of theirs.
  Scenario Outline: a message <kind> of era <era> is <result> by a node that does not know eras
    When a node that does not know eras gets a message <kind> of era <era>
    Then it has <result> the message

    Examples:
      | kind                | era | result  |
      | changefeed.progress | 0   | read    |
      | changefeed.progress | 3   | refused |
      | fleet.state-given   | 0   | read    |
      | fleet.state-given   | 3   | refused |
      | fleet.heartbeat     | 0   | read    |

  Scenario: a heartbeat of a later era says to a node that does not know eras that nothing was read
    When a node that does not know eras gets a message fleet.heartbeat of era 3
    Then it takes the sender's revision for 0, and a node that knows eras for 12 of era 3

  # Guards against times that were counted from an earlier return, and against doubts that end while the store is away.
  Scenario: a second return gives upstreams that a peer's state lacked the whole time again
    Given a node that has listed u1 and u2 in era 1, of which a copy is kept
    When u3 is written before the return
    And the store does not answer the node, and a peer's state of era 2 without u3 arrives
    And 1 s pass at the node
    And the node lists the copy in era 3
    And 2 s pass at the node
    Then u3 is ready

  Scenario: an upstream that had ended is not used while the store does not answer
    Given a node that has listed u1 and u2 in era 1, of which a copy is kept
    When u2 ends before the return
    And the node lists the copy in era 2, and then nothing happens
    And the store does not answer the node for 10 s
    Then u2 is not known

  # Guards against a zone that gets work again because a copy of the store lacks its evacuation (EVAC).
  Scenario Outline: <before> before the return, <after> after it: <time> s later zone z1 is <state>
    Given a node that has listed u1 and u2 in era 1, of which a copy <contents> is kept
    When <before> before the return
    And the node lists the copy in era 2, and then <after>
    And <time> s pass at the node
    Then zone z1 is <state>

    Examples: an evacuation that the copy lacks goes on until it is taken back, or not written again for a time
      | contents           | before              | after               | time | state       |
      | without evacuation | z1 is evacuated     | nothing happens     | 0    | evacuated   |
      | without evacuation | z1 is evacuated     | nothing happens     | 9.9  | evacuated   |
      | without evacuation | z1 is evacuated     | nothing happens     | 10   | in use      |
      | without evacuation | z1 is evacuated     | z1 is evacuated     | 20   | evacuated   |
      | without evacuation | z1 is evacuated     | z1 is taken back    | 0    | in use      |
      | without evacuation | z1 is evacuated     | the node lists u1 alone | 5 | evacuated  |
      | without evacuation | nothing happens     | nothing happens     | 0    | in use      |
      | with evacuation    | z1 is taken back    | nothing happens     | 0    | evacuated   |
      | with evacuation    | z1 is taken back    | z1 is taken back    | 0    | in use      |
      | with evacuation    | nothing happens     | nothing happens     | 20   | evacuated   |
      | with evacuation    | nothing happens     | z1 is taken back    | 0    | in use      |

  # Guards against an upstream that is taken for one that left because it was not written again in time (LOST).
  Scenario: an upstream that was dropped after a return is used again as soon as it is registered in a later era
    Given a node that has listed u1 and u2 in era 1, of which a copy is kept
    When u3 is written before the return
    And the node lists the copy in era 2, and then nothing happens
    And 2.3 s pass at the node
    And the node lists the copy in era 3
    And u3 is written in era 3
    Then u3 is ready

  # Guards against a copy that undoes what a peer has told since the return (DRAIN, LOST, EVAC).
  Scenario Outline: <node> hears from a peer in era 2 that <told>: <time> s after it <after> <result>
    Given <node> in era 2 while the store does not answer it
    When a peer's state of era 2 arrives, in which <told>
    And the node <after>, and <time> s pass
    Then <result>

    Examples:
      | node                            | told                | after               | time | result                 |
      | a node that starts              | u2 drains           | lists the copy      | 0    | u2 is draining         |
      | a node that starts              | u2 drains           | lists the copy      | 10   | u2 is draining         |
      | a node that starts              | u2 has started anew | lists the copy      | 0    | u2 is ready            |
      | a node that starts              | u2 has started anew | lists the copy      | 0    | u2 has its later start |
      | a node that starts              | u2 has started anew | lists the copy      | 2.3  | u2 is not known        |
      | a node that starts              | u3 is registered    | lists the copy      | 0    | u3 is not known        |
      | a node that starts              | z1 is kept          | lists the copy      | 9.9  | zone z1 is evacuated   |
      | a node that starts              | z1 is kept          | lists the copy      | 10   | zone z1 is in use      |
      | a node that starts              | z1 is kept          | sees z1 taken back  | 0    | zone z1 is in use      |
      | a node that has listed the copy | u2 drains           | lists the copy      | 0    | u2 is draining         |
      | a node that has listed the copy | u2 has started anew | lists the copy      | 0    | u2 has its later start |
      | a node that has listed the copy | u3 is registered    | lists the copy      | 0    | u3 is not known        |
      | a node that has listed the copy | z1 is kept          | lists the copy      | 9.9  | zone z1 is evacuated   |
      | a node that knew z1 evacuated   | z1 is kept          | lists the copy      | 9.9  | zone z1 is evacuated   |
      | a node that knew z1 evacuated   | z1 is kept          | lists the copy      | 10   | zone z1 is in use      |
      | a node that knew z1 evacuated   | z1 is kept          | sees z1 taken back  | 0    | zone z1 is in use      |
      | a node that has listed the copy | z1 is kept          | sees z1 taken back  | 0    | zone z1 is in use      |
      | a node that starts              | z1 is evacuated     | sees nothing new    | 20   | zone z1 is evacuated   |
      | a node that has listed the copy | z1 is evacuated     | sees nothing new    | 20   | zone z1 is evacuated   |
      | a node that knew z1 evacuated   | z1 is evacuated     | sees nothing new    | 20   | zone z1 is evacuated   |
      | a node that starts              | z1 is evacuated     | lists the copy      | 0    | zone z1 is in use      |
      | a node that knew z1 evacuated   | z1 is evacuated     | lists the copy      | 0    | zone z1 is in use      |
      | a node that starts              | z1 is kept          | sees nothing new    | 9.9  | zone z1 is evacuated   |
      | a node that starts              | z1 is kept          | sees nothing new    | 10   | zone z1 is in use      |

  # Guards against an upstream that is kept for twice the time (DRAIN).
  Scenario: a peer's state does not prolong the time in which an upstream may register after a return
    Given a node that has listed u1 and u2 in era 1, of which a copy is kept
    When u3 is written before the return
    And the node lists the copy in era 2, and then nothing happens
    And the store does not answer the node for 1 s
    And a peer's state of era 2 arrives, in which nothing is new
    And 1.3 s pass at the node
    Then u3 is not known
