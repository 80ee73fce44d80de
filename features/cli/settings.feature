Feature: Settings files on the command line
  A command that prints only the first mistake would make operators correct a file in many attempts.

  Scenario Outline: <command> prints all mistakes of a file at once
    Given cli settings file with mistakes
      """
      node: node-1
      zone: quito
      http: {listen: "localhost:8080", advertised: "127.0.0.1:8080"}
      peer: {listen: "127.0.0.1:7000", advertised: "127.0.0.1:7000"}
      platform: {endpoints: ["127.0.0.1:2379"]}
      limit_policy: fair
      routing_polcy: round-robin
      """
    When cli runs "<command>"
    Then cli exit status is INVALID_DOCUMENT
    And cli error output is the lines
      | line | key                   | text                                            |
      | 3    | http.listen           | such as 10.0.0.5:8080, found 'localhost:8080'   |
      | 5    | platform.endpoints[0] | expected a URL                                  |
      | 6    | limit_policy          | leased, local-only, static-split, found 'fair'  |
      | 7    | routing_polcy         | routing_policy                                  |

    Examples:
      | command             |
      | settings check FILE |
      | node --settings FILE |

  Scenario: a node does not start without the files that its settings name
    Given cli settings file with mistakes
      """
      node: node-1
      zone: quito
      http: {listen: "127.0.0.1:0", advertised: "127.0.0.1:8080", tls_certificate: /nowhere/c.pem, tls_key: /nowhere/k.pem}
      peer: {listen: "127.0.0.1:0", advertised: "127.0.0.1:7000"}
      platform: {endpoints: ["http://127.0.0.1:2379"]}
      """
    When cli runs "node --settings FILE"
    Then cli exit status is INVALID_DOCUMENT
    And cli error output is the lines
      | line | key                  | text                                            |
      | 3    | http.tls_certificate | expected a readable file, found '/nowhere/c.pem' |
      | 3    | http.tls_key         | expected a readable file, found '/nowhere/k.pem' |

  Scenario Outline: the settings of <profile> are valid
    When cli runs "settings check examples/<profile>/node-1.yaml"
    Then cli exit status is SUCCESS

    Examples:
      | profile      |
      | paramo       |
      | puzzle-guild |
