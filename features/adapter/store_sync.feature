Feature: Synchronisation with the platform's store
  Every change ends the open watch calls of all nodes. Without a delay, each node of a starting
  fleet of 67 would call the store once for the registration of every other node. A node to which others pass the changes on makes no
  watch calls.

  Scenario Outline: a node of a fleet of <nodes> collects 60 changes with one call per <delay> s
    Given a store that a node of a fleet of <nodes> watches
    When 60 changes are made within about 0.6 s
    Then the node receives all 60 changes
    And it has called the store at most once in <delay> s

    Examples:
      | nodes | delay |
      | 7     | 0.035 |
      | 67    | 0.3   |

  Scenario: a single change is received at once
    Given a store that a node of a fleet of 67 watches
    When a change is made
    Then the node receives it within 0.2 s

  Scenario: a node that gets the changes from other nodes does not watch, and misses none later
    Given a store that a node of a fleet of 67 watches
    When other nodes pass the changes on to the node for 0.6 s
    Then the node makes no watch call
    When no other node passes changes on any more
    Then the node receives the changes that it missed

  Scenario Outline: a node whose registration the store answers with <status> is registered soon after
    # Guards against a lease that is renewed for ever although the node's key was never written.
    Given a store that answers the first registration of a node with status <status>
    Then the node is registered

    Examples:
      | status |
      | 429    |
      | 500    |
      | 503    |

  # Guards against time limits in series: a call on one silent connection after the other, each with a limit of its own (CONFIG).
  Scenario Outline: open connections that have fallen silent do not delay <call>
    Given a client of the store with two connections, which fall silent
    When <event>, and a key is written
    Then <call> has its answer at the first attempt

    Examples: new connections work, and nothing closes those that are silent
      | call                 | event                             |
      | a listing            | its watch call has failed         |
      | the lease of a node  | its watch call has failed         |
      | a watch              | both have been idle for 0.25 s    |
      | a listing            | both have been idle for 0.25 s    |
      | a registration       | both have been idle for 0.25 s    |

  Scenario Outline: a connection that has been idle for <idle> s <use>
    Given a client of the store with two connections
    When both have been idle for <idle> s, and a key is written
    Then a listing <use>

    Examples: the bound is 1 s, of which a node's own call may take 0.2 s
      | idle | use                        |
      | 0.15 | is made on an open one     |
      | 0.25 | is made on a new one       |

  Scenario Outline: a node goes on following the store after <error> while it handles <what>
    # Guards against the second report of the incident LOST: an odd entry ended the thread for good.
    Given a store that a node watches whose handling of <what> raises <error> 2 times
    Then the node receives a change that is made after it

    Examples:
      | what         | error          |
      | a listing    | RecursionError |
      | a change     | RecursionError |
      | a change     | MemoryError    |
      | an answer    | OverflowError  |
      | a duty       | KeyError       |
      | a feed       | KeyError       |
      | an outage    | KeyError       |
      | registration | TypeError      |

  # Guards against a node on a small link that reads each of many large configurations (review case 6).
  Scenario: a node that lacks several large changes reads the newest one only
    Given a node that follows a store without its large changes
    When the configuration is written 5 times before the node learns of it
    Then it reads the configuration once
