Feature: What upstreams say of themselves binds the choice
  An upstream that leaves gets nothing more until it registers anew, and one that wants a pause
  gets nothing before its end, whatever the store, peers, failures and time say meanwhile.

  Scenario Outline: after <events> upstream u1 is <beside> beside others and <alone> alone
    Given a serving state with the upstreams u1, u2 and u3
    When the state observes <events>
    Then u1 is <beside> beside others
    And a request for which only u1 is left is <alone>

    Examples: leaving ends with a new registration only
      | events                                                  | beside | alone               |
      | nothing                                                 | used   | sent                |
      | leaving                                                 | unused | refused as leaving  |
      | leaving, success                                        | unused | refused as leaving  |
      | leaving, 90000 s                                        | unused | refused as leaving  |
      | leaving, registered again                               | unused | refused as leaving  |
      | leaving, registered at another address                  | unused | refused as leaving  |
      | leaving, registered with an earlier start               | unused | refused as leaving  |
      | leaving, removed, registered again                      | unused | refused as leaving  |
      | leaving, removed, 90000 s, registered again             | unused | refused as leaving  |
      | leaving, registered with a later start                  | used   | sent                |
      | leaving, removed, registered with a later start         | used   | sent                |
      | leaving, store away                                     | unused | refused as leaving  |
      | store away, leaving, lapsed                             | unused | refused as leaving  |
      | store away, leaving, lapsed, store back, registered again | unused | refused as leaving |
      | leaving, peer listing with u1                           | unused | refused as leaving  |
      | registered with a later start, leaving of the earlier start | used | sent              |
      | leaving, registered with a later start, leaving of the earlier start | used | sent     |

    Examples: a pause ends with its time or a new registration, and nothing shortens it
      | events                                              | beside | alone             |
      | pause of 10 s                                       | unused | refused as paused |
      | pause of 10 s, 9.9 s                                | unused | refused as paused |
      | pause of 10 s, 10 s                                 | used   | sent              |
      | pause of 10 s, success, 9.9 s                       | unused | refused as paused |
      | pause of 10 s, 5 s, pause of 1 s, 4.9 s             | unused | refused as paused |
      | pause of 10 s, 5 s, pause of 1 s, 5 s               | used   | sent              |
      | pause of 10 s, 5 s, pause of 10 s, 5 s              | unused | refused as paused |
      | pause of 10 s, registered again                     | unused | refused as paused |
      | pause of 10 s, removed, registered again            | unused | refused as paused |
      | pause of 10 s, registered at another address        | unused | refused as paused |
      | pause of 10 s, registered with a later start        | used   | sent              |
      | pause of 10 s, store away, lapsed                   | unused | refused as paused |
      | pause of 0 s                                        | used   | sent              |
      | pause of 86400 s, 86399 s                           | unused | refused as paused |
      | pause of 86401 s, 3599 s                            | unused | refused as paused |
      | pause of 86401 s, 3600 s                            | used   | sent              |
      | pause of 10 s, leaving, 10 s                        | unused | refused as leaving |

    Examples: neither an ejection of the others nor the share that always stays in use brings it back
      | events                                            | beside | alone             |
      | failures of u2 and u3, leaving                    | unused | refused as leaving |
      | failures of u2 and u3, pause of 10 s              | unused | refused as paused |
      | leaving, failures of u1, u2 and u3                | unused | refused as leaving |
      | failures of u1, 2 s, pause of 10 s                | unused | refused as paused |

    Examples: what only a peer has read is a reason to avoid it, not to refuse
      | events                                                       | beside | alone |
      | leaving at a peer                                            | unused | sent  |
      | leaving at a peer, 90000 s                                   | unused | sent  |
      | leaving at a peer, registered with a later start             | used   | sent  |
      | registered with a later start, leaving at a peer             | used   | sent  |

    Examples: an answer that belongs to another request or upstream says nothing
      | events                                 | beside | alone |
      | leaving in an answer to another request | used  | sent  |
      | leaving in a misdirected answer        | used   | sent  |

  Scenario: an upstream is used or not as its statements since its last start say
    Then for any course of statements, registrations and time, u1 is barred exactly as they say

  # Guards against an upstream that is never used again because of a value that means nothing.
  Scenario: whatever Retry-After says, an upstream is used again within a day
    Then for any fields of refusals, u1 is used again a day after the last one

  Scenario: the sessions of an upstream that leaves move to one other upstream each
    A session that is spread over several ones has its prompt read by each of them.

    Given a serving state with the upstreams u1, u2 and u3
    When the state observes leaving
    Then each of 40 sessions has one upstream that is not u1, and those of u2 and u3 stay where they were

  Scenario: when the last upstream of a zone leaves, its requests cross zones
    Given a serving state with the upstreams u1, u2 and u3
    And the upstreams u2 and u3 are in another zone
    When the state observes leaving
    Then u1 is unused beside others

  Scenario: results at an upstream that wants a pause are freed when the pause ends
    A call that frees results is a request too.

    Given a serving state with the upstreams u1, u2 and u3
    And a stage coordinator
    When the state observes pause of 10 s
    And results at u1 and u2 are to be freed
    Then the results at u2 are freed
    When 10 s pass for the coordinator
    Then the results at u1, u2 are freed

  Scenario: results at an upstream of an evacuated zone are freed at once
    Given a serving state with the upstreams u1, u2 and u3
    And a stage coordinator
    When the zones of u1, u2 and u3 are evacuated
    And results at u1 and u2 are to be freed
    Then the results at u1, u2 are freed

  # Guards against calls that free results in a pause: they were asked for before it, and had to wait
  # for a thread.
  Scenario: results that wait to be freed when their upstream asks for a pause are freed at its end
    Given a serving state with the upstreams u1, u2 and u3
    And a stage coordinator whose calls wait for threads
    When results at u1 and u2 are to be freed
    And the state observes pause of 10 s
    And the calls get threads
    Then the results at u2 are freed
    When 10 s pass for the coordinator
    And the calls get threads
    Then the results at u1, u2 are freed

  Scenario: a request whose stage waits for no upstream learns from the owner when to come back
    Given a serving state with the upstreams u1, u2 and u3
    And a stage coordinator
    When the owner of a queue reports that all upstreams want a pause of 2.5 s
    Then the request is told of a pause of 2.5 s

  Scenario Outline: all upstreams of <service> pause for <pauses> s, and callers come back after <low> to <high> s
    Callers that came back before the first upstream, or all at once, would be refused or crowd it.

    Given a serving state with the upstreams u1, u2 and u3
    When u1, u2 and u3 want pauses of <pauses> s
    Then <count> refused callers are told to come back after <low> to <high> s, spread over the time between

    Examples:
      | service     | pauses     | count | low | high |
      | the service | 2, 3, 4    | 200   | 2   | 3    |
      | the service | 20, 10, 30 | 200   | 10  | 15   |

  # Guards against a caller that comes back a few ms before the first upstream, and is refused again.
  Scenario: no caller is told to come back sooner than the first upstream, whatever the pause is
    Then for any time until an upstream comes back, the Retry-After of the refusal is not shorter

  Scenario Outline: a node tells its peers of <leaving> leaving upstreams among <upstreams> in <bytes> bytes a heartbeat
    Reports that grow with the number of upstreams would fill the links between hundreds of nodes.

    Given a serving state with <upstreams> upstreams
    When <leaving> of the upstreams say that they leave
    Then each heartbeat grows by at most <bytes> bytes and names at most <named> of them
    And every peer has heard of all <leaving> after <heartbeats> heartbeats
    And with <nodes> nodes, the reports add <rate> kB/s at most to what a node sends

    Examples: 80 heartbeats a second at most, whatever the number of nodes
      | nodes | upstreams | leaving | bytes | named | heartbeats | rate |
      | 195   | 70        | 0       | 1     | 0     | 1          | 0.1  |
      | 195   | 70        | 1       | 24    | 1     | 1          | 2    |
      | 195   | 70        | 70      | 200   | 8     | 9          | 16   |
      | 390   | 3600      | 1       | 24    | 1     | 1          | 2    |
      | 390   | 3600      | 150     | 200   | 8     | 19         | 16   |
      | 390   | 3600      | 1200    | 200   | 8     | 150        | 16   |

  Scenario: a node tells nothing of upstreams that the store has already removed
    Given a serving state with 70 upstreams
    When 70 of the upstreams say that they leave
    And the store removes them
    Then each heartbeat grows by at most 1 bytes and names at most 0 of them

  Scenario Outline: <nodes> nodes send <left> requests to a leaving upstream after the bound, with the store <store>
    Given <nodes> nodes and an upstream u1 beside <others> others
    When u1 leaves while callers send requests, with the store <store>
    Then no node sends u1 a request that a caller sent after that node had read an answer of u1
    And <left> requests reach u1 from nodes that never read an answer of u1, once peers have told them

    Examples: the store never says that u1 leaves
      | nodes | others | store | left |
      | 30    | 0      | away  | any  |
      | 30    | 1      | away  | 0    |
      | 30    | 5      | away  | 0    |
      | 30    | 5      | stale | 0    |
      | 30    | 0      | slow  | any  |
      | 30    | 5      | slow  | 0    |

  Scenario Outline: a node that <event> after u1 has said that it leaves sends it <count> requests beside <others> others
    A new process knows nothing of the statement. It learns it from the next heartbeat of a peer, or
    where no other upstream is left, from the first answer.

    Given 30 nodes and an upstream u1 beside <others> others
    When u1 leaves while callers send requests, and 2 s later node n0 <event>
    Then node n0 sends u1 <count> requests afterwards, all of them before it has read an answer

    Examples:
      | event                 | others | count |
      | freezes for 3 s       | 0      | no    |
      | freezes for 3 s       | 5      | no    |
      | restarts within 0.5 s | 0      | some  |

  Scenario: a node that has started again avoids a leaving upstream once a peer has told it
    Given 30 nodes and an upstream u1 beside 5 others
    When u1 leaves while callers send requests, and 2 s later node n0 restarts within 0.5 s
    Then node n0 sends u1 no request once a peer has told it
