Feature: Upstreams whose registrations break at use
  Decoders refuse these entries. Guards against one that gets past them: a caller without an answer, other upstreams that are not
  tried, counters that stay up, and heartbeats that cannot be sent.

  Scenario Outline: a request that chooses an upstream with <oddity> gets a truthful answer
    Given a serving node with stand-ins for the platform
    And an upstream of the plain service with <oddity> that no decoder refused
    When callers send 10 requests of both kinds
    Then each is answered by a sound upstream
    When the sound upstreams of the plain service are gone
    And callers send 10 requests of both kinds
    Then each gets status 503
    And no request is in flight at any upstream, and none awaits a first byte

    Examples:
      | oddity                 |
      | a port of ²            |
      | a port of 5,000 digits |
      | the port 99999         |
      | the port 0             |
      | the port -1            |
      | no port                |
      | no host                |
      | a host with a blank    |
      | a host with NUL        |
      | a host with a newline  |
      | a host of 300 letters  |
      | a host of 64 letters   |
      | an id with a newline   |
      | an id beyond Latin-1   |
      | an id that no request can be made for |

  Scenario Outline: requests are answered beside an upstream with <oddity>
    Given a serving node with stand-ins for the platform
    And an upstream of the plain service with <oddity> that no decoder refused
    When 10 callers at a time send requests of both kinds 3 times
    Then each is answered
    And no request is in flight at any upstream, and none awaits a first byte
    And the node still sends heartbeats

    Examples:
      | oddity                 |
      | 0 slots                |
      | -1 slots               |
      | 10**18 slots           |
      | -10**400 slots         |
      | 10**400 slots          |
      | a start of 10**30      |
      | a start of -10**30     |
      | a zone of 1 MB         |

  Scenario Outline: a stage call to an upstream with <oddity> was not sent
    Given a caller of stages
    When it makes a call to an upstream with <oddity>, and frees results there
    Then the call ends as not executed by an absent upstream, and the results as not freed

    Examples:
      | oddity                 |
      | a port of ²            |
      | a port of 5,000 digits |
      | the port 99999         |
      | no port                |
      | a host with a newline  |
      | a host of 300 letters  |
