Feature: Release log and acceptance
  Guards against a node whose revision decreases or whose configuration diverges, two notes with
  the same revision, and a note that is applied twice after a lost response.

  Scenario: nodes match the oracle under random notes, losses, reordering, duplicates and restarts
    Then releases state machine finds no violation

  # Each row disables one guard. The state machine must then fail, which shows that it tests the
  # guard.
  Scenario Outline: the state machine detects that the <guard> is missing
    Then releases state machine finds a violation without the <guard>

    Examples:
      | guard             |
      | read-back         |
      | head comparison   |
      | note id comparison |
      | order check       |
      | digest check      |
      | snapshot check    |

  Scenario Outline: the later of two notes is refused with the id of the first (<how> the later)
    Given releases store with an accepted note "base"
    When releases note "first" is accepted <how> note "second"
    Then releases store refuses "second" with RELEASE_CONFLICT naming 'first'
    And releases store has the notes base, first

    Examples:
      | how                           |
      | between the read and write of |
      | before the submission of      |

  Scenario Outline: a note is recorded once although <times> <lost> are lost
    Given releases store with an accepted note "base"
    When releases note "next" is submitted while <times> <lost> are lost
    Then releases submission outcome is <outcome>
    When releases note "next" is submitted again
    Then releases submission outcome is <second>
    And releases store has the notes base, next

    Examples:
      | times | lost      | outcome | second      |
      | 0     | responses | new     | resubmitted |
      | 1     | responses | again   | resubmitted |
      | 2     | requests  | new     | resubmitted |
      | 3     | requests  | unknown | new         |

  Scenario Outline: an outage during a submission neither loses nor repeats a note (<when>)
    Given releases store with an accepted note "base"
    When releases note "next" is submitted and the platform becomes unreachable <when>
    Then releases submission outcome is <outcome>
    When releases note "next" is submitted again
    Then releases submission outcome is <second>
    And releases store has the notes base, next

    Examples:
      | when           | outcome       | second      |
      | before a write | not recorded  | new         |
      | after a write  | unknown       | resubmitted |

  Scenario: a different note with an id that is already recorded is refused
    Given releases store with an accepted note "base"
    When releases a different note with the id "base" is submitted
    Then releases store refuses "base" with RELEASE_CONFLICT naming 'base'

  Scenario Outline: a new node loads <notes> notes of <size> bytes from <source>
    Given releases store with <notes> accepted notes of <size> bytes and snapshots every 16
    When releases new node loads its configuration from <source>
    Then releases new node has the configuration of the platform
    And releases values on the platform have at most 1000000 bytes

    Examples:
      | source       | notes | size   |
      | the platform | 0     | 10     |
      | the platform | 15    | 10     |
      | the platform | 16    | 10     |
      | the platform | 40    | 10     |
      | the platform | 16    | 100000 |
      | a peer       | 40    | 10     |
      | a peer       | 300   | 10     |
      | a peer       | 300   | 5000   |

  Scenario: notes beyond the retention limit, their ids and old snapshots are deleted
    Given releases store with 64 accepted notes of 10 bytes and snapshots every 16
    Then releases platform keeps 32 notes, 32 ids and 1 snapshot

  Scenario: replies without notes do not cause requests in a tight loop
    Given releases node whose peer announces revision 9 and replies without notes
    Then releases node sends at most 3 requests in 1 s

  Scenario Outline: a message with <what> is refused when it is decoded
    Then releases message <body> is refused

    Examples:
      | what               | body                                                            |
      | another version    | {"type": "releases/notes-request", "version": 2, "after": 1}    |
      | an unknown field   | {"type": "releases/notes-request", "after": 1, "extra": 1}      |
      | an unknown type    | {"type": "releases/other", "after": 1}                          |

  Scenario Outline: a node applies an operator's notes over HTTP while <fault>
    Given releases operator and node that use the platform stand-in
    When releases operator submits 9 notes while <fault>
    Then releases node reaches revision 10 and the platform's digest

    Examples:
      | fault              |
      | nothing fails      |
      | responses are lost |
      | watches break      |
