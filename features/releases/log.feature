Feature: Release log and acceptance
  Guards against a node that goes back or diverges, two notes for one revision, and a note that
  is applied twice after a lost response.

  Scenario: random operators, losses, reordering, duplicates and restarts match the oracle
    Then releases state machine finds no violation

  # Each row removes one guard; a machine that passed without it would prove nothing about it.
  Scenario Outline: removing the <guard> is noticed
    Then releases state machine finds a violation without the <guard>

    Examples:
      | guard             |
      | read-back         |
      | head comparison   |
      | note id comparison |
      | order check       |
      | digest check      |
      | snapshot check    |

  Scenario Outline: an operator who comes second is told the name of the first note (<how>)
    Given releases with an accepted note "base"
    When releases note "first" wins over note "second" <how>
    Then releases refuses "second" with RELEASE_CONFLICT naming 'first'
    And releases has the notes base, first

    Examples:
      | how                        |
      | between its read and write |
      | before it is submitted     |

  Scenario Outline: a note whose response is lost <times> times is recorded once
    Given releases with an accepted note "base"
    When releases note "next" is submitted while <times> <lost> are lost
    Then releases outcome is <outcome>
    When releases note "next" is submitted again
    Then releases outcome is <second>
    And releases has the notes base, next

    Examples:
      | times | lost      | outcome | second      |
      | 0     | responses | new     | resubmitted |
      | 1     | responses | again   | resubmitted |
      | 2     | requests  | new     | resubmitted |
      | 3     | requests  | unknown | new         |

  Scenario Outline: a recorded note survives an outage during its read-back (<when>)
    Given releases with an accepted note "base"
    When releases note "next" is submitted and the platform goes away <when>
    Then releases outcome is <outcome>
    When releases note "next" is submitted again
    Then releases outcome is <second>
    And releases has the notes base, next

    Examples:
      | when           | outcome       | second      |
      | before a write | not recorded  | new         |
      | after a write  | unknown       | resubmitted |

  Scenario: another note under a recorded id is refused
    Given releases with an accepted note "base"
    When releases another note with the id "base" is submitted
    Then releases refuses "base" with RELEASE_CONFLICT naming 'base'

  Scenario Outline: a new node gets the same configuration from <source> with <notes> notes
    Given releases with <notes> accepted notes of <size> bytes and snapshots every 16
    When releases new node learns from <source>
    Then releases new node has the configuration of the platform
    And releases values on the platform are at most 1000000 bytes

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

  Scenario: records beyond the kept ones are deleted with their ids and old snapshots
    Given releases with 64 accepted notes of 10 bytes and snapshots every 16
    Then releases platform keeps 32 notes, 32 ids and 1 snapshot

  Scenario: an endless supply of useless answers does not make requests in a loop
    Given releases node whose peer announces revision 9 and answers with nothing
    Then releases node sends at most 3 requests in 1 s

  Scenario Outline: a message of <what> is refused when it is decoded
    Then releases message <body> is refused

    Examples:
      | what               | body                                                            |
      | another version    | {"type": "releases/notes-request", "version": 2, "after": 1}    |
      | an unknown field   | {"type": "releases/notes-request", "after": 1, "extra": 1}      |
      | an unknown type    | {"type": "releases/other", "after": 1}                          |

  Scenario Outline: a node follows an operator over HTTP while <fault>
    Given releases operator and node that use the platform stand-in
    When releases operator submits 9 notes while <fault>
    Then releases node reaches revision 10 and the platform's digest

    Examples:
      | fault              |
      | nothing fails      |
      | responses are lost |
      | watches break      |
