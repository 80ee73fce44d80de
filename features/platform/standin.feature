Feature: Emulated platform service
  Experiments over the stand-in are only valid if it enforces what the platform enforces.

  Scenario Outline: calls beyond the rate of <kind> are refused
    Given platform stand-in with <limit> <kind> per second and a stopped clock
    When platform stand-in gets <calls> <kind>
    Then platform stand-in accepted <limit> and refused <refused>

    Examples:
      | kind   | limit | calls | refused |
      | reads  | 20    | 25    | 5       |
      | writes | 5     | 8     | 3       |

  Scenario: an open watch counts as one read per second
    Given platform stand-in with 20 reads per second and a stopped clock
    When platform stand-in has 15 open watches for 1 s
    Then platform stand-in counted 15 watch seconds
    And platform stand-in accepts 5 more reads and then refuses

  Scenario: many open watches leave worker threads for other calls
    Given platform adapter etcd
    When platform has 120 open watches
    And platform keys w/1,w/2 are written
    Then platform watches all deliver w/1,w/2
    And platform key "w/1" holds "w/1"

  Scenario Outline: faults are injected over HTTP (<fault>)
    Given platform adapter etcd
    When platform faults are posted as <fault>
    And platform key "a" is written as "1" if it is at revision 0
    Then platform outcomes are <outcome>

    Examples:
      | fault                                    | outcome                |
      | {"unavailable_ms": 60000}                | PlatformUnavailable    |
      | {"lose_responses": 1}                    | PlatformOutcomeUnknown |
      | {"slow_by_ms": 2500, "slow_for_ms": 500} | PlatformOutcomeUnknown |
      | {"compact": true, "expire_leases": true} | succeeded              |

  Scenario: the list of VMs lags
    Given platform stand-in with 500 reads per second and a stopped clock
    When platform VM list lags 10 s and vm-1 is live, then gone
    Then platform VM list shows vm-1 as absent, then after 10 s as gone

  Scenario Outline: calls need the credentials of the settings (<credentials>)
    Given platform stand-in that needs credentials
    When platform client uses <credentials>
    Then platform outcomes are <outcome>

    Examples:
      | credentials      | outcome         |
      | the token        | succeeded       |
      | another token    | PlatformRefused |
      | the password     | succeeded       |
      | another password | PlatformRefused |
      | nothing          | PlatformRefused |

  Scenario Outline: certificates are verified unless the settings say otherwise (<settings>)
    Given platform stand-in with a certificate of its own
    When platform client uses <settings>
    Then platform outcomes are <outcome>

    Examples:
      | settings             | outcome             |
      | its certificate      | succeeded           |
      | public certificates  | PlatformUnavailable |
      | no verification      | succeeded           |

  Scenario: a watch works over TLS
    Given platform stand-in with a certificate of its own
    When platform client uses its certificate
    And platform watch of "a" is opened
    Then platform watch delivers a and no more
