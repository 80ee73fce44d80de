Feature: Platform service adapters
  The in-memory adapter must behave like the etcd adapter. Otherwise tests that use the in-memory
  adapter could pass although the software fails with etcd.

  Scenario Outline: a comparison that does not hold changes nothing (<adapter>)
    Given the platform adapter <adapter>
    When the platform key "a" is written as "1" if it is at revision 0
    And the platform key "a" is written as "2" if it is at revision 0
    Then the platform key "a" holds "1"
    And the platform outcomes are succeeded, failed

    Examples:
      | adapter |
      | memory  |
      | etcd    |

  Scenario Outline: a range returns exactly the keys with its prefix, in order (<adapter>)
    Given the platform adapter <adapter>
    When the platform keys <written> are written
    Then the platform range of "<prefix>" is <found>

    Examples:
      | adapter | written       | prefix | found       |
      | memory  | a/2,a/1,b,a   | a/     | a/1,a/2     |
      | etcd    | a/2,a/1,b,a   | a/     | a/1,a/2     |
      | memory  | é/1,é/2,z     | é/     | é/1,é/2     |
      | etcd    | é/1,é/2,z     | é/     | é/1,é/2     |
      | memory  | b,a,c         |        | a,b,c       |
      | etcd    | b,a,c         |        | a,b,c       |

  Scenario Outline: a write without a response is reported with an unknown outcome (<adapter>)
    Given the platform adapter <adapter>
    When the platform loses the response of the next write
    And the platform key "a" is written as "1" if it is at revision 0
    Then the platform outcomes are PlatformOutcomeUnknown
    And the platform key "a" holds "1"

    Examples:
      | adapter |
      | memory  |
      | etcd    |

  Scenario Outline: a write during an outage is reported as not applied (<adapter>)
    Given the platform adapter <adapter>
    When the platform is unavailable
    And the platform key "a" is written as "1" if it is at revision 0
    Then the platform outcomes are PlatformUnavailable

    Examples:
      | adapter    |
      | memory     |
      | etcd       |
      | no-server  |

  Scenario Outline: a watch delivers each change once although its connection breaks (<adapter>)
    Given the platform adapter <adapter>
    When the platform watch of "a/" is opened
    And the platform keys a/1,b/1,a/2 are written
    And the platform watch connections are broken and the watch is resumed
    And the platform keys a/3,b/2,a/1 are written
    Then the platform watch delivers a/1,a/2,a/3,a/1 and no more

    Examples:
      | adapter |
      | memory  |
      | etcd    |

  Scenario Outline: a watch from a compacted revision raises WatchCompacted (<adapter>)
    Given the platform adapter <adapter>
    When the platform keys a/1,a/2 are written
    And the platform history is compacted
    Then the platform watch of "a/" from revision 2 raises WatchCompacted

    Examples:
      | adapter |
      | memory  |
      | etcd    |

  Scenario Outline: the keys of an expired lease are deleted (<adapter>)
    Given the platform adapter <adapter>
    When the platform key "a" is written under a lease of 60 s
    Then the platform lease has 60 s left
    When the platform leases expire
    Then the platform key "a" is absent
    And the platform lease has 0 s left

    Examples:
      | adapter |
      | memory  |
      | etcd    |

  Scenario Outline: writes beyond the service's limits are refused before they are sent (<adapter>)
    Given the platform adapter <adapter>
    When a platform transaction has <writes> writes of <size> bytes
    Then the platform outcomes are <outcome>

    Examples:
      | adapter | writes | size    | outcome         |
      | memory  | 128    | 1       | succeeded       |
      | etcd    | 128    | 1       | succeeded       |
      | memory  | 129    | 1       | PlatformRefused |
      | etcd    | 129    | 1       | PlatformRefused |
      | etcd    | 1      | 1000000 | succeeded       |
      | memory  | 1      | 1000001 | PlatformRefused |
      | etcd    | 1      | 1000001 | PlatformRefused |

  Scenario Outline: the registry opens adapters by name
    Then the platform registry opens "<name>" as <kind>

    Examples:
      | name   | kind           |
      | etcd   | EtcdPlatform   |
      | memory | MemoryPlatform |

  Scenario: a write goes to the next endpoint if the first cannot be reached
    Given an etcd platform adapter behind an endpoint that refuses connections
    When the platform key "a" is written as "1" if it is at revision 0
    Then the platform outcomes are succeeded

  Scenario Outline: a watch during an outage of <outage> ms <result>
    Given an etcd platform adapter that reconnects watches for 600 ms
    When the platform watch of "a/" is opened
    And the platform faults are posted as {"unavailable_ms": <outage>}
    Then the platform watch <result>

    Examples:
      | outage | result                     |
      | 200    | resumes                    |
      | 60000  | raises PlatformUnavailable |
