Feature: Stand-in for the platform service
  Results of experiments with the stand-in are valid only if it enforces the same rate limits,
  credentials and certificates as the platform and shows the same faults.

  Scenario Outline: calls beyond the rate of <kind> are refused
    Given a platform stand-in with <limit> <kind> per second and a stopped clock
    When the platform stand-in receives <calls> <kind>
    Then the platform stand-in accepted <limit> and refused <refused>

    Examples:
      | kind   | limit | calls | refused |
      | reads  | 20    | 25    | 5       |
      | writes | 5     | 8     | 3       |

  Scenario: an open watch counts as one read per second
    Given a platform stand-in with 20 reads per second and a stopped clock
    When the platform stand-in has 15 open watches for 1 s
    Then the platform stand-in counted 15 watch seconds
    And the platform stand-in accepts 5 more reads and then refuses

  Scenario: many open watches do not occupy all worker threads
    Given the platform adapter etcd
    When the platform client has 120 open watches
    And the platform keys w/1,w/2 are written
    Then all platform watches deliver w/1,w/2
    And the platform key "w/1" holds "w/1"

  Scenario Outline: faults are injected over HTTP (<fault>)
    Given the platform adapter etcd
    When the platform faults are posted as <fault>
    And the platform key "a" is written as "1" if it is at revision 0
    Then the platform outcomes are <outcome>

    Examples:
      | fault                                    | outcome                |
      | {"unavailable_ms": 60000}                | PlatformUnavailable    |
      | {"lose_responses": 1}                    | PlatformOutcomeUnknown |
      | {"slow_by_ms": 2500, "slow_for_ms": 500} | PlatformOutcomeUnknown |
      | {"compact": true, "expire_leases": true} | succeeded              |

  Scenario: the list of VMs lags behind changes
    Given a platform stand-in with 500 reads per second and a stopped clock
    When the platform VM list lags 10 s and vm-1 is live, then gone
    Then the platform VM list shows vm-1 as absent, then after 10 s as gone

  Scenario Outline: only clients with valid credentials are served (<credentials>)
    Given a platform stand-in that requires credentials
    When the platform client uses <credentials>
    Then the platform outcomes are <outcome>

    Examples:
      | credentials      | outcome         |
      | the token        | succeeded       |
      | another token    | PlatformRefused |
      | the password     | succeeded       |
      | another password | PlatformRefused |
      | nothing          | PlatformRefused |

  Scenario Outline: certificates are verified unless the settings disable the verification (<settings>)
    Given a platform stand-in with a self-signed certificate
    When the platform client uses <settings>
    Then the platform outcomes are <outcome>

    Examples:
      | settings             | outcome             |
      | its certificate      | succeeded           |
      | public certificates  | PlatformUnavailable |
      | no verification      | succeeded           |

  Scenario: a watch works over TLS
    Given a platform stand-in with a self-signed certificate
    When the platform client uses its certificate
    And the platform watch of "a" is opened
    Then the platform watch delivers a and no more
