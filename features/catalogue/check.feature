Feature: Check of a configuration before it is sent
  A configuration that can be read may still hide a route behind another one, or contradict itself.
  The check prints what it finds with a code and the place, and nodes log the same findings.

  Scenario: a sound configuration has no findings
    When the configuration is checked
    Then the check finds nothing and ends with 0

  Scenario Outline: a configuration with <change> has the finding <code> at <place>
    Given a configuration with <change>
    When the configuration is checked
    Then the check finds only <code> at <place> and ends with 1

    Examples: entries that never match
      | change                                            | code | place                    |
      | routes[1].pathPrefix = "/order/"                  | W101 | routes[1]                |
      | routes[1].host, pathPrefix = "APP.example", "/order/" | W101 | routes[1]            |
      | routes[0].pathPrefix = "order/"                   | W102 | routes[0].path_prefix    |
      | routes[0].pathPrefix = "/order"                   | W102 | routes[0].path_prefix    |
      | routes[0].host = ""                               | W103 | routes[0].host           |
      | routes[0].host = "app.example:80"                 | W103 | routes[0].host           |
      | routes[0].host = " app.example"                   | W103 | routes[0].host           |
      | routes[1].name = "order"                          | W104 | routes                   |
      | services += {"name": "spare"}                     | W105 | services.spare           |
      | tenants[0].apiKeys = []                           | W106 | routes[0]                |
      | tenants = []                                      | W106 | routes[0]                |
      | tenants += {"name": "b", "apiKeys": [], "priority": 1} | W109 | organisations.b     |
      | tenants += {"name": "b", "allowedRegions": ["r"]} | W109 | organisations.b          |
      | routes[0].trafficSplit = [{"service": "plain", "weight": 1}, {"service": "engine", "weight": 0}] | W107 | routes[0].split |
      | routes[1].streamResume = true                     | W108 | routes[1].resumable      |
      | routes[0].maxAttempts = 3                         | W108 | routes[0].max_attempts   |

    Examples: what does not exist or contradicts itself
      | change                                            | code | place                    |
      | routes[0].service = "none"                        | E201 | routes[0].service        |
      | routes[0].trafficSplit = [{"service": "none", "weight": 1}] | E201 | routes[0].service |
      | routes[3].stages[1].service = "none"              | E201 | routes[3].stages[1].service |
      | routes[3].stages[1].service = "plain"             | E202 | routes[3].stages[1].service |
      | services[2].segments.itemMs = 5000                | E203 | routes[3].timeout        |
      | services[3].segments.itemMs = 4990                | E203 | routes[3].timeout        |
      | routes[1].targetLatencyMs = 5001                  | E204 | routes[1].target_latency |
      | routes[2].targetGapMs = 6000                      | E205 | routes[2].max_gap        |
      | routes[3].stages[0].length = 1000000000           | E206 | services.first.batching.batch |
      | services[2].segments.headroomMb = 0               | E206 | services.first.batching.batch |
      | services[2].segments.handleS = 0                  | E207 | services.first.batching  |
      | limits.maxHeaderBytes = 100                       | E210 | limits.max_headers       |
      | limits.headerTimeoutMs = 0                        | E210 | limits.header_timeout    |
      | limits.idleTimeoutMs = 0                          | E210 | limits.idle_timeout      |

    Examples: bounds of the nodes, with a stop of 8 s
      | change                                            | code | place                    |
      | routes[0].timeoutMs = 8001                        | W208 | routes[0].timeout        |

  Scenario: homes without a region in common
    Given a configuration with routes[0].allowedRegions = ["r1"]
    And a configuration with tenants[0].allowedRegions = ["r2"]
    When the configuration is checked
    Then the check finds only E209 at routes[0].homes and ends with 1

  Scenario Outline: against the one in force, a configuration with <change> has the finding <code>
    Given a configuration with version = 2
    And a configuration with <change>
    When the configuration is checked against the one in force
    Then the check finds only <code> at <place> and ends with 1

    Examples: what it takes away
      | change                             | code | place              |
      | version = 1                        | D301 | version            |
      | routes -= 0                        | D302 | routes             |
      | routes[0].service = "engine"       | D303 | routes[0]          |
      | routes[0].timeoutMs = 4000         | D304 | routes[0].timeout  |
      | tenants[0].apiKeys = ["k1"]        | D305 | organisations.bozi |
      | limits.maxBodyBytes = 5000         | D307 | limits.max_body    |
      | routes[0].kind = "streaming"       | D308 | routes[0].kind     |

  Scenario Outline: a file with <content> cannot be read: <place>
    Given a file with <content>
    When the file is checked
    Then the check says "<place>" of the file, which cannot be read, and ends with 2

    Examples:
      | content                                    | place                  |
      | {"version": 1                              | truncated              |
      | {"version": 1}                             | routes                 |
      | {"version": -1, "routes": []}              | $.version              |
      | {"version": 1, "routes": [{"name": "r"}]}  | $.routes[0]            |

  # Guards against unreadable files that pass for files with mistakes.
  Scenario Outline: a file of <bytes> cannot be read
    Given a file of <bytes>
    When the file is checked
    Then the check says "<place>" of the file, which cannot be read, and ends with 2

    Examples:
      | bytes                          | place  |
      | random bytes                   | utf-8  |
      | a configuration in UTF-16      | utf-8  |
      | a configuration in Latin-1     | UTF-8  |
      | settings in Latin-1            | utf-8  |
      | settings that are cut          | flow   |
      | NUL bytes                      | control characters |

  Scenario: a node logs what it applies in spite of a finding
    Given a serving node with stand-ins for the platform
    When a configuration comes into force with two routes of the same prefix
    Then the node has logged W101 at routes[1]

  Scenario: settings of a node with mistakes
    Given a file with {"nodeName": "n", "zone": "", "ip": "10.0.0.1"}
    When the file is checked
    Then the check finds E001 at zone, listen, internalPorts, platform and ends with 1

  Scenario: a configuration of 5000 routes is checked in less than 2 s of processor time
    Given a configuration with 5000 more routes
    When the configuration is checked
    Then the check finds nothing and ends with 0
    And the check took less than 2 s of processor time
