Feature: Node settings
  A mistake in a settings file may have no visible effect until the node is under load or in an
  outage. Therefore all mistakes are reported before the node starts.

  Scenario: values with units are read from complete settings
    Given complete node settings
    When the settings are read
    Then the settings have no mistakes
    And the settings value "limits.body" is "2097152"
    And the settings value "membership.heartbeat" is "0:00:00.250000"
    And the settings value "platform.connect_timeout" is "0:00:00.500000"
    And the settings value "log.format" is "LogFormat.JSON"

  Scenario: all mistakes are reported at once with file, line, key and expected value
    When the settings are read from
      """
      node: 7
      zone: quito
      colour: red
      http:
        listen: 10.0.0.1:8080
        advertised: 0.0.0.0:8080
        tls_key: key.pem
      peer:
        listen: 10.0.0.1:9090
        advertised: 10.0.0.1:9090
        seeds: [10.0.0.2]
      platform:
        endpoints: ["10.0.0.3:2379"]
        connect_timeout: 5
      limits: {body: 1024, connections: 0}
      membership: {heartbeat: 2s}
      log: {level: loud}
      """
    Then the reported mistakes are
      | line | key                         | text                                    |
      | 1    | node                        | expected text                           |
      | 3    | colour                      | unknown key; known are: node, zone      |
      | 6    | http.advertised             | that other hosts can reach              |
      | 7    | http.tls_key                | expected http.tls_certificate as well   |
      | 11   | peer.seeds[0]               | found '10.0.0.2'                        |
      | 13   | platform.endpoints[0]       | expected a URL                          |
      | 14   | platform.connect_timeout    | a duration with a unit                  |
      | 15   | limits.body                 | a size with a unit                      |
      | 15   | limits.connections          | expected an integer >= 1, found '0'     |
      | 16   | membership.heartbeat_large  | at least membership.heartbeat           |
      | 16   | membership.confirmation_ttl | at least twice                          |
      | 17   | log.level                   | expected one of debug, error           |

  Scenario Outline: one wrong value gives exactly one mistake (<key>: <value>)
    Given complete node settings
    And the settings key "<key>" is <value>
    When the settings are read
    Then the only reported mistake is at <path> and says "<text>"

    Examples: types and missing keys
      | key                      | value            | path                     | text                       |
      | zone                     | missing          | zone                     | is missing                 |
      | http                     | missing          | http                     | expected a mapping, is missing |
      | peer.listen              | missing          | peer.listen              | is missing                 |
      | http.listn               | 1.2.3.4:5        | http.listn               | did you mean 'listen'?     |
      | limits.idle_time         | 5                | limits.idle_time         | a duration with a unit     |
      | limits.headers           | 16               | limits.headers           | a size with a unit         |
      | platform.verify_tls      | maybe            | platform.verify_tls      | true or false              |
      | log.format               | xml              | log.format               | one of text, json          |
      | peer.seeds               | 10.0.0.2:9090    | peer.seeds               | expected a list            |

    Examples: ranges and contradictions
      | key                      | value            | path                     | text                       |
      | http.listen              | 10.0.0.1         | http.listen              | expected an address        |
      | http.listen              | node-1:8080      | http.listen              | expected an address        |
      | http.listen              | 10.0.0.1:70000   | http.listen              | expected an address        |
      | http.advertised          | 10.0.0.1:0       | http.advertised          | that other hosts can reach |
      | peer.advertised          | 10.0.0.1:8080    | peer.advertised          | an address other than http.advertised |
      | peer.listen              | 0.0.0.0:8080     | peer.listen              | an address other than http.listen |
      | platform.adapter         | zookeeper        | platform.adapter         | one of etcd, memory        |
      | platform.endpoints       | []               | platform.endpoints       | at least one URL           |
      | platform.endpoints       | ["http://a:b@10.0.0.3:2379"] | platform.endpoints[0] | no credentials     |
      | platform.connect_timeout | 3s               | platform.connect_timeout | at most platform.request_timeout |
      | platform.watch_silence   | 0s               | platform.watch_silence   | above 0s                   |
      | platform.token_file      | token            | platform.token_file      | either token_file or username |
      | platform.verify_tls      | false            | platform.ca_file         | no ca_file                 |
      | http.tls_certificate     | missing          | http.tls_key             | http.tls_certificate as well |
      | peer.curve_secret_key    | missing          | peer.curve_public_keys   | peer.curve_secret_key as well |
      | platform.password_file   | missing          | platform.username        | platform.password_file as well |
      | operators.key_hashes     | [ABC]            | operators.key_hashes[0]  | hexadecimal                |
      | limits.body              | 0B               | limits.body              | above 0B                   |
      | membership.suspicion_timeout | 2s           | membership.suspicion_timeout | more than membership.confirmation_ttl |
      | membership.confirmation_ttl  | 1s           | membership.confirmation_ttl  | at least twice         |
      | routing_policy           | fastest          | routing_policy           | one of chervilrack, round-robin |

  Scenario: secrets are read from their files and hidden in the repr
    Given complete node settings
    When the settings are read with a password file that contains "word"
    Then the adapter settings have the password "word" and their repr hides it
