Feature: Zones that the operator evacuates
  Nothing new may be sent to the upstreams of an evacuated zone until the operator takes the evacuation back. A node that overlooks it,
  or forgets it while the store is away, goes on sending there.

  Scenario Outline: zone z1 <events>, which a node learns by <carrier>: its upstreams are <use>
    Given a node that knows upstreams u1 and u2 of zone z1
    When zone z1 <events>, which the node learns by <carrier>
    Then the upstreams of zone z1 are <use>

    Examples: every carrier
      | events                                        | carrier                | use       |
      | is evacuated                                  | a listing              | evacuated |
      | is evacuated                                  | a batch of changes     | evacuated |
      | is evacuated                                  | a message of a watcher | evacuated |
      | is evacuated                                  | the state of a peer    | evacuated |
      | is evacuated and returned                     | a listing              | used      |
      | is evacuated and returned                     | a batch of changes     | used      |
      | is evacuated and returned                     | a message of a watcher | used      |
      | is evacuated and returned                     | the state of a peer    | used      |
      | is evacuated and returned and evacuated again | a listing              | evacuated |
      | is evacuated and returned and evacuated again | a batch of changes     | evacuated |
      | is evacuated and returned and evacuated again | a message of a watcher | evacuated |
      | is evacuated and returned and evacuated again | the state of a peer    | evacuated |

  Scenario Outline: an evacuation that a node knows <holds> when <event>
    Given a node that knows upstreams u1 and u2 of zone z1
    When zone z1 is evacuated, which the node learns by a batch of changes
    And <event>
    Then the upstreams of zone z1 are <use>

    Examples: it holds until the node learns of its end
      | event                                                    | use       | holds |
      | the store is away for 600 s                              | evacuated | holds |
      | a peer of an earlier version sends a newer state         | evacuated | holds |
      | a peer sends an older state                              | evacuated | holds |
      | a listing arrives that is older than the evacuation      | evacuated | holds |
      | both upstreams register anew, and u3 of zone z1 is added | evacuated | holds |
      | the evacuation is removed                                | used      | ends  |

  Scenario: a node that starts while the store is away learns of an evacuation by a peer's state
    Given a node that starts while the store is away
    When it takes the state of a peer that knows of the evacuation of z1
    Then the upstreams of zone z1 are evacuated

  Scenario Outline: the key <key> costs itself only and is logged
    Given a node that knows upstreams u1 and u2 of zone z1
    When <key> and the evacuation of zone z1 are written, which the node learns by <carrier>
    Then the upstreams of zone z1 are evacuated
    And one log line and one count of unreadable evacuations name <key>

    Examples: no zone has such a name
      | key               | carrier                |
      | op/evacuate/      | a batch of changes     |
      | op/evacuate/      | a listing              |
      | op/evacuate/a/b   | a message of a watcher |
      | op/evacuate/zürich | a batch of changes    |
      | op/evacuate/a b   | a listing              |

  Scenario: the evacuation of an unknown zone is logged with no upstreams and binds none
    Given a node that knows upstreams u1 and u2 of zone z1
    When the evacuation of zone z9 is written, which the node learns by a batch of changes
    Then the upstreams of zone z1 are used
    And the log says that zone z9 with 0 upstreams is "zone evacuated" at revision 4

  Scenario: the log says when a zone is evacuated and for how long, and the metrics count it
    Given a node that knows upstreams u1 and u2 of zone z1
    When zone z1 is evacuated, which the node learns by a batch of changes
    Then the log says that zone z1 with 2 upstreams is "zone evacuated" at revision 4
    And the metrics count 1 evacuated zone and 2 evacuated upstreams
    When 30 s go by at the node
    And the evacuation is removed
    Then the log says that zone z1 with 2 upstreams is "zone returned" at revision 5
    And it says that this was after 30 s
    And the metrics count 0 evacuated zones and 0 evacuated upstreams

  Scenario: a stage queue keeps its upstreams of an evacuated zone, whose results it accounts for
    Given a node that knows upstreams u1 and u2 of zone z1
    When zone z1 is evacuated, which the node learns by a batch of changes
    Then the queues of services know u1 and u2, which may get nothing new
