Feature: Platform service adapters
  Both adapters must behave alike, or tests over the in-memory one prove nothing about etcd.

  Scenario Outline: a comparison that does not hold changes nothing (<adapter>)
    Given platform adapter <adapter>
    When platform key "a" is written as "1" if it is at revision 0
    And platform key "a" is written as "2" if it is at revision 0
    Then platform key "a" holds "1"
    And platform outcomes are succeeded, failed

    Examples:
      | adapter |
      | memory  |
      | etcd    |

  Scenario Outline: a range has exactly the keys of its prefix in order (<adapter>)
    Given platform adapter <adapter>
    When platform keys <written> are written
    Then platform range of "<prefix>" is <found>

    Examples:
      | adapter | written       | prefix | found       |
      | memory  | a/2,a/1,b,a   | a/     | a/1,a/2     |
      | etcd    | a/2,a/1,b,a   | a/     | a/1,a/2     |
      | memory  | é/1,é/2,z     | é/     | é/1,é/2     |
      | etcd    | é/1,é/2,z     | é/     | é/1,é/2     |
      | memory  | b,a,c         |        | a,b,c       |
      | etcd    | b,a,c         |        | a,b,c       |

  Scenario Outline: a lost write is reported as unknown and never as not applied (<adapter>)
    Given platform adapter <adapter>
    When platform loses the response of the next write
    And platform key "a" is written as "1" if it is at revision 0
    Then platform outcomes are PlatformOutcomeUnknown
    And platform key "a" holds "1"

    Examples:
      | adapter |
      | memory  |
      | etcd    |

  Scenario Outline: an outage is reported as not applied (<adapter>)
    Given platform adapter <adapter>
    When platform is unavailable
    And platform key "a" is written as "1" if it is at revision 0
    Then platform outcomes are PlatformUnavailable

    Examples:
      | adapter    |
      | memory     |
      | etcd       |
      | no-server  |

  Scenario Outline: a watch delivers each change once over a broken connection (<adapter>)
    Given platform adapter <adapter>
    When platform watch of "a/" is opened
    And platform keys a/1,b/1,a/2 are written
    And platform watch connections are broken and the watch is resumed
    And platform keys a/3,b/2,a/1 are written
    Then platform watch delivers a/1,a/2,a/3,a/1 and no more

    Examples:
      | adapter |
      | memory  |
      | etcd    |

  Scenario Outline: a watch of a compacted revision says so (<adapter>)
    Given platform adapter <adapter>
    When platform keys a/1,a/2 are written
    And platform history is compacted
    Then platform watch of "a/" from revision 2 raises WatchCompacted

    Examples:
      | adapter |
      | memory  |
      | etcd    |

  Scenario Outline: an expired lease takes its keys with it (<adapter>)
    Given platform adapter <adapter>
    When platform key "a" is written under a lease of 60 s
    Then platform lease has 60 s left
    When platform leases expire
    Then platform key "a" is absent
    And platform lease has 0 s left

    Examples:
      | adapter |
      | memory  |
      | etcd    |

  Scenario Outline: writes that the service would refuse are refused before they are sent (<adapter>)
    Given platform adapter <adapter>
    When platform is given <writes> writes of <size> bytes
    Then platform outcomes are <outcome>

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
    Then platform registry opens "<name>" as <kind>

    Examples:
      | name   | kind           |
      | etcd   | EtcdPlatform   |
      | memory | MemoryPlatform |

  Scenario: a write goes to the next endpoint if the first cannot be reached
    Given platform etcd adapter behind an endpoint that refuses connections
    When platform key "a" is written as "1" if it is at revision 0
    Then platform outcomes are succeeded

  Scenario Outline: a watch during an outage of <outage> ms <result>
    Given platform etcd adapter that reconnects watches for 600 ms
    When platform watch of "a/" is opened
    And platform faults are posted as {"unavailable_ms": <outage>}
    Then platform watch <result>

    Examples:
      | outage | result                     |
      | 200    | resumes                    |
      | 60000  | raises PlatformUnavailable |
