Feature: Release notes
  An accepted note cannot be rolled back. All mistakes of a note must therefore be found, and
  reported together, before it is accepted.

  Scenario: all mistakes of a note are reported with file, line, key and what is expected
    Given releases base configuration
    When releases note is read
      """
      id: "first note"
      added:
        teams:
          - id: press
            limits: {concurrency: many}
          - id: forge
        upstreams:
          - {id: e9, team: nobody, kind: engine, url: "http://10.0.0.9:80", zone: quito, models: [m1]}
          - {id: e8, team: press, kind: motor, url: "http://10.0.0.8:80", zone: quito}
        pipelines:
          - id: p9
            deadline: 6
            stages: [{id: s, kind: engine, model: m9}]
      changed:
        services: [{id: s9, deadline: 5s}]
      withdrawn:
        upstream: [e1]
      """
    Then releases note has these mistakes
      | line | key                                 | text                                 |
      | 1    | id                                  | expected an id that matches          |
      | 5    | added.teams[0].limits.concurrency   | expected an integer, found 'many'    |
      | 6    | added.teams[1].id                   | 'forge' exists                       |
      | 8    | added.upstreams[0].team             | there is no 'nobody'                 |
      | 9    | added.upstreams[1].kind             | expected one of engine, encoder      |
      | 12   | added.pipelines[0].deadline         | a duration with a unit               |
      | 13   | added.pipelines[0].stages[0].model  | there is no 'm9'                     |
      | 15   | changed.services[0].id              | there is no 's9'                     |
      | 17   | withdrawn.upstream                  | did you mean 'upstreams'?            |

  Scenario Outline: a mistake in the content of a note is found (<key>: <text>)
    Given releases base configuration
    When releases note is read with <body>
    Then releases note has a single mistake at <key> that says "<text>"

    Examples: existence
      | body                                                       | key                    | text                      |
      | added: {teams: [{id: forge}]}                              | added.teams[0].id      | use 'changed'             |
      | changed: {teams: [{id: x, limits: {concurrency: 1}}]}      | changed.teams[0].id    | there is no 'x'           |
      | changed: {teams: [{id: forge}]}                            | changed.teams[0].id    | at least one field        |
      | withdrawn: {teams: [x]}                                    | withdrawn.teams[0]     | there is no 'x'           |
      | added: {teams: [{id: t}, {id: t}]}                         | added.teams[1].id      | is named before           |
      | added: {teams: [{id: a b}]}                                | added.teams[0].id      | an id that matches        |
      | description: nothing                                       | document               | at least one item         |

    Examples: references and coverage
      | body                                                       | key                    | text                      |
      | withdrawn: {teams: [forge]}                                | withdrawn.teams[0]     | refers to it              |
      | withdrawn: {models: [m1]}                                  | withdrawn.models[0]    | refers to it              |
      | withdrawn: {upstreams: [e1, e2]}                           | withdrawn.upstreams[0] | remain for stage 'write'  |
      | withdrawn: {upstreams: [o1]}                               | withdrawn.upstreams[0] | remain for service 'orders' |
      | added: {upstreams: [{id: o2, team: forge, kind: service, url: "http://10.0.0.4:80", zone: quito, service: x}]} | added.upstreams[0].service | there is no 'x' |
      | added: {services: [{id: dues, operations: [{name: pay}]}]} | added.services[0]      | at least one upstream for service 'dues' |
      | added: {pipelines: [{id: q, stages: [{id: s, kind: reranker}]}]} | added.pipelines[0].stages[0] | at least one upstream for stage 's' |

    Examples: values
      | body                                                       | key                    | text                      |
      | changed: {upstreams: [{id: e1, limits: {concurrency: 0}}]} | changed.upstreams[0].limits.concurrency | above 0, found 0 |
      | changed: {teams: [{id: forge, limits: {requests_per_s: -1}}]} | changed.teams[0].limits.requests_per_s | above 0, found -1 |
      | changed: {upstreams: [{id: e1, limits: {tokens_per_s: 99}}]} | changed.upstreams[0].limits.tokens_per_s | at least 500, the max_tokens of stage 'write' |
      | changed: {teams: [{id: forge, limits: {tokens_per_s: 499}}]} | changed.teams[0].limits.tokens_per_s | at least 500 |
      | changed: {pipelines: [{id: answer, stages: [{id: write, kind: engine, model: m1, max_tokens: 3000}]}]} | changed.pipelines[0].stages[0].max_tokens | at most the limit of 2000 |
      | changed: {pipelines: [{id: answer, deadline: 0s}]}         | changed.pipelines[0].deadline | above 0s           |
      | changed: {pipelines: [{id: answer, stages: []}]}           | changed.pipelines[0].stages | at least one stage   |
      | changed: {upstreams: [{id: e1, url: "10.0.0.1:80"}]}       | changed.upstreams[0].url | expected a URL          |
      | changed: {upstreams: [{id: e1, service: orders}]}          | changed.upstreams[0].service | no service for kind engine |
      | changed: {pipelines: [{id: answer, stages: [{id: w, kind: engine}, {id: w, kind: engine}]}]} | changed.pipelines[0].stages[1].id | 'w' is repeated |
      | changed: {pipelines: [{id: answer, stages: [{id: w, kind: engine, max_tokens: -1}]}]} | changed.pipelines[0].stages[0].max_tokens | found -1 |
      | changed: {pipelines: [{id: answer, stages: [{id: w, kind: service}]}]} | changed.pipelines[0].stages[0].kind | other than service |
      | changed: {services: [{id: orders, operations: []}]}        | changed.services[0].operations | at least one operation |
      | changed: {services: [{id: orders, operations: [{name: a}, {name: a}]}]} | changed.services[0].operations | 'a' is repeated |
      | changed: {upstreams: [{id: o1, models: [m1]}]}             | changed.upstreams[0].models | no models for kind service |
      | added: {upstreams: [{id: o2, team: forge, kind: service, url: "http://10.0.0.4:80", zone: quito}]} | added.upstreams[0].service | id of a service, is missing |
      | changed: {organisations: [{id: org1, weight: 0}]}          | changed.organisations[0].weight | above 0          |
      | changed: {organisations: [{id: org1, keys: []}]}           | changed.organisations[0].keys | at least one key   |
      | changed: {organisations: [{id: org1, keys: [{sha256: abc}]}]} | changed.organisations[0].keys[0].sha256 | 64 lower-case |
      | added: {organisations: [{id: org2, keys: [{key: secret1}]}]} | added.organisations[0].keys[0] | organisation 'org1' has the same |

  Scenario: a note submitted as JSON is checked too
    Given releases base configuration
    When releases note is submitted as JSON {"id": "n", "changed": {"models": [{"id": "m1", "size": -1}]}}
    Then releases note has a single mistake at changed.models[0].size that says "at least 0B"

  Scenario Outline: a mistake in the syntax or schema of a note is found (<text>)
    Given releases base configuration
    When releases note is read with <body>
    Then releases note has a single mistake at <key> that says "<text>"

    Examples:
      | body                                                  | key                        | text                        |
      | added: {models: [{id: m2, size: 2048}]}               | added.models[0].size       | a size with a unit          |
      | added: {models: [{id: m2, size: 2XiB}]}               | added.models[0].size       | found '2XiB'                |
      | added: {models: [{id: m2, version: 2}]}               | added.models[0].version    | expected text               |
      | added: {models: [{id: m2, id: m3}]}                   | added.models[0].id         | given twice                 |
      | added: {models: [{size: 2GiB}]}                       | added.models[0].id         | is missing                  |
      | added: {models: {id: m2}}                             | added.models               | expected a list             |
      | added: [m2]                                           | added                      | expected a mapping          |
      | added: {models: [&x {id: m2}, *x]}                    | alias                      | not supported               |
      | added: {models: [{id: m2}                             | document                   | expected valid YAML         |
      | added: {organisations: [{id: o, keys: [{key: k, expires: 2027-01-01T00:00:00}]}]} | added.organisations[0].keys[0].expires | with offset |
      | added: {organisations: [{id: o, keys: [{key: k, sha256: k}]}]} | added.organisations[0].keys[0].sha256 | given twice |

  Scenario Outline: durations and sizes are read with their units (<text>)
    Then releases <kind> "<text>" is <value>

    Examples:
      | kind     | text   | value      |
      | duration | 6s     | 6000       |
      | duration | 250ms  | 250        |
      | duration | 1.5m   | 90000      |
      | duration | 1d     | 86400000   |
      | duration | 6      | refused    |
      | duration | -6s    | refused    |
      | duration | 6 s    | refused    |
      | duration | 9999999999999999d | refused |
      | size     | 2GiB   | 2147483648 |
      | size     | 64kB   | 64000      |
      | size     | 0.5MiB | 524288     |
      | size     | 12B    | 12         |
      | size     | 12     | refused    |

  Scenario: the command line sends the hash of a clear-text key but not the key
    Given releases base configuration
    When releases note is read with changed: {organisations: [{id: org1, keys: [{key: open sesame}, {key: 123456}]}]}
    Then releases encoded note has the SHA-256 of "open sesame" and of "123456" but not the keys

  Scenario Outline: messages about a misplaced key do not contain the key (<keys>)
    Given releases base configuration
    When releases note is read with changed: {organisations: [{id: org1, keys: <keys>}]}
    Then releases note has mistakes that do not show "open sesame"

    Examples:
      | keys                                  |
      | open sesame                           |
      | [open sesame]                         |
      | [{sha256: open sesame}]               |
      | [{key: k, expires: open sesame}]      |

  Scenario: a note changes only the fields that it contains
    Given releases base configuration
    When releases note is read with changed: {upstreams: [{id: e1, zone: ambato}]}
    Then releases configuration differs only in the zone of e1 and its revision
