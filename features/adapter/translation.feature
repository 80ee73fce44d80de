Feature: Names and formats of the platform
  A field that is decoded or encoded wrongly sends a request to the wrong upstream, or gives the
  platform false information.

  Scenario Outline: a value of <key> with <change> is <result>
    Given an example value of the store key <key>
    When the example value is changed by <change>
    Then decoding the value gives <result>

    Examples: a malformed value is rejected as a whole; unknown fields are ignored
      | key          | change                       | result     |
      | servers/i-1  | nothing                      | decoded    |
      | servers/i-1  | extra = 1                    | decoded    |
      | servers/i-1  | state = "resting"            | unreadable |
      | servers/i-1  | address = 17                 | unreadable |
      | servers/i-1  | address = "nowhere"          | unreadable |
      | servers/i-1  | service missing              | unreadable |
      | servers/i-1  | bytes that are not JSON      | unreadable |
      | op/config    | nothing                      | decoded    |
      | op/config    | extra = 1                    | decoded    |
      | op/config    | version = "seven"            | unreadable |
      | op/config    | routes missing               | unreadable |

  Scenario: a configuration is decoded into routes, services and API keys
    Given an example value of the store key op/config
    Then route "/cufi/" of "a.example" is a stream of priority 0 with 3 stages and a target latency of 2 s
    And route "/puxa/" of "b.example" splits its traffic 90 to 10 and may be resumed
    And service "kafi" takes 4 pieces per call and has space for 9000000 bytes of results
    And API key "k1" belongs to organisation "bozi"

  Scenario Outline: a caller's header <name> is forwarded <forwarded>
    When a request with header <name> is forwarded to i-7 for organisation "bozi"
    Then the upstream receives header <name> <forwarded>

    Examples: API keys are removed, and a caller can't set the headers of the system
      | name                         | forwarded        |
      | Authorization                | not at all       |
      | Chervilrack-Tenant           | as "bozi"        |
      | Chervilrack-Target-Instance  | as "i-7"         |
      | Chervilrack-Deadline-Ms      | as "1500"        |
      | Chervilrack-Request-Priority | as "3"           |
      | Chervilrack-Inputs           | as "a/1,b/2"     |
      | Chervilrack-Kv-Hold          | not at all       |
      | Chervilrack-Pin-Ms           | not at all       |
      | Chervilrack-Kv-Backup        | not at all       |
      | Kv-From                      | not at all       |
      | Kv-Fetch                     | not at all       |
      | Chervilrack-Request-Id       | unchanged        |
      | Chervilrack-Model            | unchanged        |
      | Chervilrack-Token-Usage      | unchanged        |
      | Chervilrack-Prefix-Hash      | unchanged        |
      | Last-Event-Id                | unchanged        |
      | X-Other                      | unchanged        |

  Scenario Outline: a request with <header> is rejected as malformed
    When the headers of a request with <header> are decoded
    Then the request is rejected as malformed

    Examples:
      | header                              |
      | no Chervilrack-Request-Id           |
      | Chervilrack-Deadline-Ms: soon       |
      | Chervilrack-Token-Usage: 1460       |
      | Chervilrack-Prefix-Hash: 5c1e:many  |
      | Chervilrack-Chunk-Count: 1,x        |

  Scenario Outline: a request with response <status> and <header> counts as <execution>
    Then a request with response <status> and <header> counts as <execution>

    Examples: only the header Chervilrack-Not-Executed and status 421 rule out an execution
      | status | header                            | execution    |
      | 503    | Chervilrack-Not-Executed: 1       | not executed |
      | 503    | no header                         | executed     |
      | 429    | no header                         | executed     |
      | 421    | Chervilrack-Instance-Id: i-2      | not executed |
      | 409    | Chervilrack-Not-Executed: 1       | not executed |
      | 500    | Chervilrack-Response-Signature: x | executed     |

  Scenario Outline: response <body> to a stage call with <count> pieces gives <results>
    Then response <body> to a stage call with <count> pieces gives <results>

    Examples:
      | count | body                                                        | results            |
      | 2     | {"entries":[{"handle":"1.2.3.4:8/a"},{"reason":"gone"}]}    | handle, input gone |
      | 1     | {"entries":[{"reason":"room"}]}                             | no room            |
      | 1     | {"entries":[{"reason":"new word"}]}                         | error              |
      | 2     | {"entries":[{"handle":"1.2.3.4:8/a"}]}                      | malformed          |
      | 1     | {"entries":                                                 | malformed          |

  Scenario: all mistakes in a settings file are reported at once and unknown keys are ignored
    When a settings file is loaded that lacks zone and has a frontend without port
    Then 2 mistakes are reported that name zone and frontend

  Scenario Outline: settings with <field> = <value> <result>
    When a settings file is loaded with <field> = <value>
    Then the settings <result>

    Examples: the contact time bounds for how long look-up answers name a lost node
      | field            | value                      | result                                     |
      | bounds.contactMs | 4000                       | name a lost node for 7 s, 4 s after a pause |
      | bounds.contactMs | null                       | name a lost node without a bound           |
      | bounds.contactMs | 10                         | are refused with a mistake about contact   |
      | bounds.contactMs | "soon"                     | are refused with a mistake about contact   |

    Examples: regions of zones
      | field            | value                      | result                                     |
      | zones            | {"q": "r1", "zz": "r2"}    | have the regions q: r1, quito: sierra, zz: r2 |
      | zones            | {"quito": "sierra"}        | have the regions quito: sierra             |
      | zones            | null                       | have the regions quito: sierra             |
      | zones            | {"quito": "costa"}         | are refused with a mistake about another region |
      | zones            | ["quito"]                  | are refused with a mistake about zones     |

  # Guards against a node that ends, with all its requests, by SIGHUP while its settings file is written.
  Scenario Outline: SIGHUP while only a part of a settings file in <format> is written ends no node
    When a node reloads each beginning of a settings file in <format>
    Then it goes on each time, and takes no seed that the whole file does not have

    Examples:
      | format |
      | YAML   |
      | JSON   |

  Scenario Outline: response <status> with <header> means that stage results are <state>
    Then response <status> with <header> means that stage results are <state>

    Examples:
      | status | header                      | state     |
      | 409    | Chervilrack-Not-Executed: 1 | gone      |
      | 409    | no header                   | available |
      | 503    | Chervilrack-Not-Executed: 1 | available |

  Scenario Outline: an answer with status <status> and <fields> says that the upstream <leaves>
    A wrong reading would keep an upstream out of use until it restarts, or overlook that it goes.

    Then an answer with status <status> and fields <fields> says that the upstream <leaves>

    Examples: only the value 1 is a statement, whatever the status is and whatever else is said
      | status | fields                                 | leaves  |
      | 200    | Server-Leaving: 1                      | leaves  |
      | 500    | Server-Leaving: 1                      | leaves  |
      | 503    | server-leaving:  1                     | leaves  |
      | 103    | Server-Leaving: 1                      | leaves  |
      | 200    | Server-Leaving: 0 / Server-Leaving: 1  | leaves  |
      | 200    | Server-Leaving: 1 / Server-Leaving: 0  | leaves  |
      | 200    | Server-Leaving: 1, 1                   | leaves  |
      | 200    | Server-Leaving: 0                      | remains |
      | 200    | Server-Leaving:                        | remains |
      | 200    | Server-Leaving: true                   | remains |
      | 200    | Server-Leaving: 11                     | remains |
      | 200    | Server-Leaving: -1                     | remains |
      | 200    | Chervilrack-Server-Leaving: 1          | remains |
      | 200    | Content-Length: 1                      | remains |

  Scenario Outline: an answer with status <status> and <fields> asks for a pause of <pause>
    Then an answer with status <status> and fields <fields> asks for a pause of <pause>

    Examples: the longest of several counts; what is neither seconds nor a date is left out
      | status | fields                                                                        | pause     |
      | 503    | Retry-After: 2                                                                | 2 s       |
      | 503    | Retry-After: 0.25                                                             | 0.25 s    |
      | 503    | Retry-After: 0                                                                | 0 s       |
      | 503    | retry-after:  3                                                               | 3 s       |
      | 503    | Retry-After: 2 / Retry-After: 5                                               | 5 s       |
      | 503    | Retry-After: 5 / Retry-After: soon                                            | 5 s       |
      | 503    | Retry-After: 5, 2                                                             | 5 s       |
      | 503    | Retry-After: Sun, 06 Nov 1994 08:49:47 GMT / Date: Sun, 06 Nov 1994 08:49:37 GMT | 10 s   |
      | 503    | Retry-After: Sunday, 06-Nov-94 08:49:47 GMT / Date: Sun, 06 Nov 1994 08:49:37 GMT | 10 s  |
      | 503    | Retry-After: Sun Nov  6 08:49:47 1994 / Date: Sun, 06 Nov 1994 08:49:37 GMT   | 10 s      |
      | 503    | Retry-After: Sun, 06 Nov 1994 08:49:47 GMT / Retry-After: 60 / Date: Sun, 06 Nov 1994 08:49:37 GMT | 60 s |
      | 503    | Retry-After: Thu, 01 Jan 2026 00:00:07 GMT                                    | 7 s       |
      | 503    | Retry-After: Thu, 01 Jan 2026 00:00:07 GMT / Date: yesterday                  | 7 s       |
      | 503    | Retry-After: Sun, 06 Nov 1994 08:49:27 GMT / Date: Sun, 06 Nov 1994 08:49:37 GMT | 0 s    |
      | 503    | Retry-After: 99999999                                                         | 99999999 s |
      | 503    | Content-Length: 1                                                             | no length |
      | 503    | Retry-After:                                                                  | no length |
      | 503    | Retry-After: -5                                                               | no length |
      | 503    | Retry-After: soon                                                             | no length |
      | 503    | Retry-After: 5 s                                                              | no length |
      | 503    | Retry-After: 1e3                                                              | no length |
      | 503    | Retry-After: inf                                                              | no length |
      | 503    | Retry-After: nan                                                              | no length |
      | 503    | Retry-After: ٣                                                                | no length |
      | 429    | Retry-After: 2                                                                | no length |
      | 200    | Retry-After: 2                                                                | no length |

  Scenario: no text in Retry-After, Date or Server-Leaving breaks the reading of an answer
    Then any fields of an answer give a pause from 0 s on, and leave no error

  Scenario Outline: an answer with <fields> states <load>
    Then an answer with fields <fields> states <load>

    Examples: running, waiting, slots and, on some upstreams, the time that work takes in percent
      | fields                                               | load               |
      | Content-Length: 1                                    | no load            |
      | Chervilrack-Server-Load: 3,0,8                       | 3 0 8 None         |
      | Chervilrack-Server-Load: 3,1,8,100                   | 3 1 8 1.0          |
      | chervilrack-server-load: 3, 1, 8, 250                | 3 1 8 2.5          |
      | Chervilrack-Server-Load: 3,1,8,62.5                  | 3 1 8 0.625        |
      | Chervilrack-Server-Load: 0,0,0,1                     | 0 0 0 0.01         |
      | Chervilrack-Server-Load: 9999999,0,1                 | 9999999 0 1 None   |

    Examples: what cannot be read is left out and said so
      | fields                                               | load               |
      | Chervilrack-Server-Load:                             | an unreadable load |
      | Chervilrack-Server-Load: 3,0                         | an unreadable load |
      | Chervilrack-Server-Load: 3,0,8,100,7                 | an unreadable load |
      | Chervilrack-Server-Load: 3,0,8 / Chervilrack-Server-Load: 3,0,8 | an unreadable load |
      | Chervilrack-Server-Load: -3,0,8                      | an unreadable load |
      | Chervilrack-Server-Load: 3,0,8,0                     | an unreadable load |
      | Chervilrack-Server-Load: 3,0,8,-100                  | an unreadable load |
      | Chervilrack-Server-Load: 3,0,8,1e3                   | an unreadable load |
      | Chervilrack-Server-Load: 3,0,8,inf                   | an unreadable load |
      | Chervilrack-Server-Load: 3,0,8,nan                   | an unreadable load |
      | Chervilrack-Server-Load: 99999999,0,8                | an unreadable load |
      | Chervilrack-Server-Load: 3,0,8,9999999               | an unreadable load |
      | Chervilrack-Server-Load: busy                        | an unreadable load |
