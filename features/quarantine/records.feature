Feature: Records of blocked traits in the store
  A block that only the nodes hold ends with the last of them. One node writes it to the store, and nodes that start take
  it from there before they accept requests.

  # Guards against a block that is lost with the nodes, or written by all of them at once (BUDGET).
  Scenario Outline: with <stored> in the store, the node that is number <rank> in order writes <written> after <time> s
    Given a node that is number <rank> in order, whose quarantine <knows>
    And the store holds <stored>
    When <time> s pass for the records
    Then the node writes <written>

    Examples: the first node writes at once, the others if nothing has appeared
      | knows             | stored                    | rank | time | written        |
      | blocks x          | nothing                   | 1    | 0    | x as blocked   |
      | blocks x          | nothing                   | 2    | 0    | nothing        |
      | blocks x          | nothing                   | 2    | 0.3  | x as blocked   |
      | blocks x          | nothing                   | 3    | 0.3  | nothing        |
      | blocks x          | x as blocked              | 1    | 5    | nothing        |
      | blocks x          | x as cleared              | 1    | 0    | x as blocked   |
      | blocks x          | x as blocked by more      | 1    | 0    | x as blocked   |
      | has probed x      | x as blocked              | 1    | 0    | x as blocked   |
      | has probed x      | x as blocked, probed once | 1    | 0    | nothing        |
      | has probed x      | x as blocked, probed 1000 times | 1 | 0   | nothing        |
      | has probed x 2000 times | x as blocked, probed 1000 times | 1 | 0 | nothing    |
      | suspects x        | nothing                   | 1    | 5    | nothing        |
      | has cleared x     | x as blocked              | 1    | 0    | x as cleared   |
      | has cleared x     | x as blocked              | 2    | 0    | nothing        |
      | has cleared x     | x as cleared              | 1    | 5    | nothing        |
      | has cleared x     | nothing                   | 1    | 5    | nothing        |
      | knows nothing     | x as blocked              | 1    | 5    | nothing        |

    Examples: bounds of number, share of a sender, and size
      | knows                     | stored                             | rank | time | written      |
      | blocks x                  | 63 others of 63 senders            | 1    | 0    | x as blocked |
      | blocks x                  | 64 others of 64 senders            | 1    | 9    | nothing      |
      | blocks x                  | 15 others of its sender            | 1    | 0    | x as blocked |
      | blocks x                  | 16 others of its sender            | 1    | 9    | nothing      |
      | blocks x of all senders   | 16 others of its sender            | 1    | 0    | x as blocked |
      | blocks x with 30 long parts | nothing                          | 1    | 9    | nothing      |

  # Guards against writes without end while the store refuses them.
  Scenario: a write that fails is made again later
    Given a node that is number 1 in order, whose quarantine blocks x
    And the store holds nothing
    When 0 s pass for the records
    Then the node writes x as blocked
    When the write fails
    And 0.5 s pass for the records
    Then the node writes nothing
    When 0.6 s pass for the records
    Then the node writes x as blocked

  # Guards against a block that a start undoes, against one that outlives its cause, and against probes of all nodes at
  # each start.
  Scenario Outline: a node that <knows> and then reads <record> has requests with <parts> <decided>
    Given a node that is number 1 in order, whose quarantine <knows>
    When the node reads <record>
    Then requests with <parts> are <decided>

    Examples:
      | knows                 | record                    | parts        | decided         |
      | knows nothing         | x as blocked              | x of o1      | refused for 30 s |
      | knows nothing         | x as blocked, probed once | x of o1      | refused for 60 s |
      | knows nothing         | x as blocked, in doubt    | x of o1      | refused for 1 s |
      | knows nothing         | x as blocked              | y of o1      | admitted        |
      | knows nothing         | x as cleared              | x of o1      | admitted        |
      | blocks x              | x as cleared              | x of o1      | admitted        |
      | has an answer on x    | x as blocked              | x of o1      | admitted        |
      | suspects x            | x as blocked              | x of o1      | refused for 30 s |

  # Guards against a start in which requests are accepted before the blocks are known.
  Scenario Outline: a node that starts with <source> refuses what is blocked as soon as it accepts requests
    Given a node that starts, and a block of x in the store
    When it gets its first state from <source>
    Then it accepts requests, and refuses those with x

    Examples:
      | source                               |
      | the store                            |
      | a peer, while the store does not answer |

  # Guards against a wrong block of one node that its record spreads to those that have sound answers.
  Scenario Outline: a node that accepts requests and then gets a block of x from <source> goes by its own evidence
    Given a node that starts, and a block of x in the store
    And it has accepted requests before the block
    When it gets a block of x from <source>
    Then it accepts requests, also those with x

    Examples:
      | source                                  |
      | a watch                                 |
      | a listing                               |
      | a peer, while the store does not answer |

  # Guards against records of other writers that cost more than themselves.
  Scenario Outline: <content> under a key of records is left out
    Given a node that starts, and <content> under a key of records
    When it gets its first state from the store
    Then it accepts requests, also those with x
    And it counts the record as unreadable

    Examples:
      | content                  |
      | no JSON                  |
      | an unknown state         |
      | an unknown field         |
      | a record of another trait |
