Feature: Values that another program has written oddly
  One entry that cannot be read, or that breaks where it is used, must cost this entry only.

  # Guards against a decoder that raises anything but the one error, which ended the thread that
  # follows the store, and against entries that are taken and break where they are used.
  Scenario Outline: a registration of an upstream with <oddity> is <result>
    When the value of "servers/odd" with <oddity> is decoded
    Then the value is <result>
    And the message is bounded and begins with "servers/odd"

    Examples: nesting
      | oddity                                   | result     |
      | 64 nested arrays                         | decoded    |
      | 65 nested arrays                         | unreadable |
      | brackets within a text                   | decoded    |
      | 2000 nested arrays                       | unreadable |
      | 200000 nested arrays                     | unreadable |
      | 3000 nested objects                      | unreadable |
      | 200000 nested arrays left open           | unreadable |
      | nested arrays as its service             | unreadable |
      | nothing but nested arrays                | unreadable |

    Examples: numbers
      | oddity                                   | result     |
      | coldRemainingMs 604800000                | decoded    |
      | coldRemainingMs 604800001                | unreadable |
      | coldRemainingMs 1e300                    | unreadable |
      | coldRemainingMs -1e18                    | unreadable |
      | coldRemainingMs -1                       | unreadable |
      | coldRemainingMs 1e400                    | unreadable |
      | coldRemainingMs NaN                      | unreadable |
      | slots 1                                  | decoded    |
      | slots 1000000                            | decoded    |
      | slots 0                                  | unreadable |
      | slots -1                                 | unreadable |
      | slots 1e18                               | unreadable |
      | slots 1000000000000000000                | unreadable |
      | slots of 400 digits                      | unreadable |
      | slots of 5000 digits                     | unreadable |
      | born 0                                   | decoded    |
      | born -1                                  | unreadable |
      | born 1e30                                | unreadable |
      | born of 30 digits                        | unreadable |

    Examples: addresses
      | oddity                                   | result     |
      | address "10.1.64.7:1"                    | decoded    |
      | address "10.1.64.7:65535"                | decoded    |
      | address "[fd00::7]:8080"                 | decoded    |
      | address "worker_7.sierra.example:8080"   | decoded    |
      | address "10.1.64.7:0"                    | unreadable |
      | address "10.1.64.7:65536"                | unreadable |
      | address "10.1.64.7:99999"                | unreadable |
      | address "10.1.64.7:²"                    | unreadable |
      | address "10.1.64.7:٣"                    | unreadable |
      | address "10.1.64.7:+80"                  | unreadable |
      | address "10.1.64.7:-1"                   | unreadable |
      | address "10.1.64.7:"                     | unreadable |
      | address "10.1.64.7"                      | unreadable |
      | address ":8080"                          | unreadable |
      | address ""                               | unreadable |
      | address "10.1.64.7 :8080"                | unreadable |
      | address "10.1.64.7:8080 "                | unreadable |
      | address "a b:8080"                       | unreadable |
      | address "a\u0000b:8080"                  | unreadable |
      | address "a\r\nX: 1:8080"                 | unreadable |
      | address "a\n:8080"                       | unreadable |
      | address "a/b:8080"                       | unreadable |
      | address "u@a:8080"                       | unreadable |
      | address "a..b:8080"                      | unreadable |
      | address "é.example:8080"                 | unreadable |
      | address "[fd00::7:8080"                  | unreadable |
      | address "[a]:8080"                       | unreadable |
      | address "fd00::7::1:8080"                | unreadable |
      | address "0.0.0.0:8080"                   | unreadable |
      | address "[::]:8080"                      | unreadable |
      | a port of 5000 digits                    | unreadable |
      | a host of 300 letters                    | unreadable |

    Examples: texts and types
      | oddity                                   | result     |
      | version ""                               | decoded    |
      | service ""                               | unreadable |
      | a service of 1000000 letters             | unreadable |
      | a zone of 1000000 letters                | unreadable |
      | a version of 1000000 letters             | unreadable |
      | an unknown field of 1000000 letters      | decoded    |
      | zone 7                                   | unreadable |
      | zone null                                | unreadable |
      | state "resting"                          | unreadable |
      | state of 1000000 letters                 | unreadable |
      | state "\ud800"                           | unreadable |
      | nothing but null                         | unreadable |
      | nothing but bytes                        | unreadable |
      | nothing                                  | unreadable |

  # Guards against requests to an address that another writer has named: an entry of an upstream has
  # all these fields.
  Scenario Outline: a registration of an upstream without <field> is <result>
    When the value of "servers/odd" without <field> is decoded
    Then the value is <result>

    Examples:
      | field           | result     |
      | service         | unreadable |
      | address         | unreadable |
      | zone            | unreadable |
      | version         | unreadable |
      | slots           | unreadable |
      | state           | unreadable |
      | coldRemainingMs | unreadable |
      | sequence        | unreadable |
      | born            | decoded    |

  # Guards against an upstream whose ID breaks the header field that names it.
  Scenario Outline: a registration under the key <key> is <result>
    When the value of <key> with no oddity is decoded
    Then the value is <result>

    Examples:
      | key                  | result     |
      | "servers/i-7f3a91c2" | decoded    |
      | "servers/"           | unreadable |
      | "servers/a b"        | unreadable |
      | "servers/a\r\nX: 1"  | unreadable |
      | "servers/é"          | unreadable |

  # Guards against a configuration that ends the thread that applies it, or that breaks requests.
  Scenario Outline: a configuration with <oddity> is <result>
    When the value of "op/config" with <oddity> is decoded
    Then the value is <result>
    And the message is bounded and begins with "op/config"

    Examples: nesting
      | oddity                                   | result     |
      | 64 nested arrays                         | decoded    |
      | 65 nested arrays                         | unreadable |
      | 2000 nested arrays                       | unreadable |
      | 200000 nested arrays                     | unreadable |
      | 3000 nested objects                      | unreadable |
      | nested arrays as its routes              | unreadable |

    Examples: numbers
      | oddity                                   | result     |
      | version 0                                | decoded    |
      | version -1                               | unreadable |
      | version of 30 digits                     | unreadable |
      | version of 5000 digits                   | unreadable |
      | route timeoutMs 0                        | decoded    |
      | route timeoutMs 604800000                | decoded    |
      | route timeoutMs 1e300                    | unreadable |
      | route timeoutMs -1                       | unreadable |
      | route targetLatencyMs 1e300              | unreadable |
      | route targetGapMs -1e300                 | unreadable |
      | route priority 3                         | decoded    |
      | route priority of 400 digits             | unreadable |
      | route maxAttempts of 400 digits          | unreadable |
      | stage length 1e308                       | unreadable |
      | stage length -1                          | unreadable |
      | batching headroomMb 1e308                | unreadable |
      | batching headroomMb -1                   | unreadable |
      | batching handleS 1e300                   | unreadable |
      | batching callMs 1e300                    | unreadable |
      | batching itemMs -1                       | unreadable |
      | batching batch 0                         | unreadable |
      | batching slots 0                         | unreadable |
      | batching queue 0                         | decoded    |
      | batching queue -1                        | unreadable |
      | limit idleTimeoutMs 1e300                | unreadable |
      | limit headerTimeoutMs -1                 | unreadable |
      | limit maxBodyBytes of 30 digits          | unreadable |

    Examples: meaning
      | oddity                                   | result     |
      | route kind "resting"                     | unreadable |
      | stage after [2]                          | unreadable |
      | stage after [-1]                         | unreadable |
      | stage after [9]                          | unreadable |
      | stage after [1]                          | unreadable |
      | split weight 0                           | decoded    |
      | split weights that are all zero          | unreadable |
      | nothing but null                         | unreadable |
      | nothing but bytes                        | unreadable |
      | nothing                                  | unreadable |

  # Guards against a decoder whose list of exceptions is not whole.
  Scenario Outline: any value of <key> is decoded within the documented ranges or unreadable
    Then any value of <key> is decoded within the documented ranges or unreadable

    Examples:
      | key         |
      | servers/odd |
      | op/config   |

  # Guards against a thread for callers that ends with an exception, and against arithmetic with
  # numbers that no time holds.
  Scenario Outline: a caller's request with <oddity> is <result>
    When the header fields of a request with <oddity> are decoded
    Then the fields are <result>

    Examples:
      | oddity                                        | result                        |
      | Chervilrack-Deadline-Ms: 8000                 | decoded                       |
      | Chervilrack-Deadline-Ms of 30 digits          | decoded with a week left      |
      | Chervilrack-Deadline-Ms of 5000 digits        | malformed                     |
      | Chervilrack-Token-Usage: 7,7 of 30 digits     | decoded                       |
      | Chervilrack-Token-Usage of 5000 digits        | malformed                     |
      | Chervilrack-Prefix-Hash: a:7 of 30 digits     | decoded                       |
      | Chervilrack-Prefix-Hash: a:7 of 5000 digits   | malformed                     |
      | Chervilrack-Chunk-Count: 0,100000             | decoded                       |
      | Chervilrack-Chunk-Count: 0,100001             | malformed                     |
      | Chervilrack-Chunk-Count of 30 digits          | malformed                     |
      | Last-Event-Id: 12                             | decoded                       |
      | Last-Event-Id of 30 digits                    | malformed                     |
      | Last-Event-Id of 5000 digits                  | malformed                     |
      | Last-Event-Id: ²                              | malformed                     |

  Scenario: any header fields of a request are decoded within the documented ranges or malformed
    Then any header fields of a request are decoded within the documented ranges or malformed

  # Guards against a thread of a stage call that ends, and against a handle that breaks the header
  # field of the request that takes the result as its input.
  Scenario Outline: an answer to a stage call with <oddity> is <result>
    Then an answer to a stage call with <oddity> is <result>

    Examples:
      | oddity                                   | result     |
      | handle "10.1.64.7:8080/91bd3f06e44"      | handle     |
      | handle "10.1.64.7:8080/a,b"              | error      |
      | handle "10.1.64.7:8080/a b"              | error      |
      | handle "10.1.64.7:8080/a\r\nX: 1"        | error      |
      | handle "10.1.64.7:8080/é"                | error      |
      | a handle of 2000 letters                 | error      |
      | a handle of 1000000 letters              | malformed  |
      | handle 7                                 | malformed  |
      | handle of 5000 digits                    | malformed  |
      | 62 nested arrays                         | handle     |
      | 2000 nested arrays                       | malformed  |
      | 20000 nested arrays                      | malformed  |
      | 200000 nested arrays                     | malformed  |

  Scenario: any answer to a stage call gives results that are safe to pass on, or is malformed
    Then any answer to a stage call gives results that are safe to pass on, or is malformed

  # Guards against a handle whose address ends the thread that frees its result.
  Scenario Outline: the handle <handle> names <result>
    Then the handle <handle> names <result>

    Examples:
      | handle                        | result     |
      | "10.1.64.7:8080/91bd3f06e44"  | an address |
      | "10.1.64.7:²/a"               | none       |
      | "10.1.64.7:99999/a"           | none       |
      | "a b:8080/a"                  | none       |
      | "a\u0000:8080/a"              | none       |
      | "10.1.64.7:8080/"             | none       |
      | "/a"                          | none       |

  # Guards against one item that costs all others of a page, or the whole listing.
  Scenario Outline: a listing and a watch whose item has <oddity> are read <result>
    Given a store whose items are "nodes/a", "servers/odd" and "servers/z", the second with <oddity>
    Then its listing is read <result>
    And its watch is read <result>

    Examples: another item is untouched; an answer that is wrong as a whole is asked for again
      | oddity                           | result             |
      | revision 7                       | whole              |
      | lease 7777777777777777777        | whole              |
      | odd 7                            | whole              |
      | revision of 30 digits            | without that item  |
      | revision of 5000 digits          | without that item  |
      | revision -1                      | without that item  |
      | revision 1e300                   | without that item  |
      | revision null                    | without that item  |
      | lease of 5000 digits             | without that item  |
      | lease 1e300                      | without that item  |
      | value 7                          | without that item  |
      | tombstone 7                      | without that item  |
      | key 7                            | without that item  |
      | 2000 nested arrays               | not at all         |
      | 200000 nested arrays             | not at all         |

  # Guards against a listing that ends, or never ends, since the last item of a page is odd.
  Scenario Outline: a listing goes on behind a page whose last item <oddity>
    Given a store whose listing has two pages, the first of which ends with an item that <oddity>
    Then its listing is read <result>

    Examples:
      | oddity                 | result            |
      | has an odd revision    | without that item |
      | has no readable key    | without that item |

  # Guards against a thread that follows the store and ends because of the store's own numbers.
  Scenario Outline: an answer of the store with <oddity> is an error of the store
    Then an answer of the store to <call> with <oddity> is an error of the store

    Examples:
      | call      | oddity                  |
      | a listing | at of 30 digits         |
      | a listing | at -1                   |
      | a listing | nothing                 |
      | a listing | nothing but null        |
      | a listing | nothing but bytes       |
      | a listing | nothing but nested arrays |
      | a listing | nested arrays as its entries |
      | a watch   | at of 30 digits         |
      | a watch   | nothing but nested arrays |
      | a lease   | ttlMs of 30 digits      |
      | a lease   | ttlMs 1e300             |
      | a lease   | ttlMs -1                |

  Scenario: any answer of the store is read, or an error of the store
    Then any answer of the store is read, or an error of the store

  # Guards against a node that ends with another exception than the list of mistakes, or that runs
  # with a time that no timer holds.
  Scenario Outline: a settings file with <oddity> is <result>
    When a settings file with <oddity> is read
    Then the settings are <result>

    Examples:
      | oddity                                      | result  |
      | no oddity                                   | taken   |
      | bounds {graceS: 8, ttl_max_s: 5}            | taken   |
      | bounds {graceS: 1.0e+300}                   | refused |
      | bounds {graceS: .nan}                       | refused |
      | bounds {graceS: -1}                         | refused |
      | bounds {budgetWindowS: .inf}                | refused |
      | bounds {ttl_max_s: 1.0e+300}                | refused |
      | limits {cpuShare: .inf}                     | refused |
      | internalPorts [7740, 99999]                 | refused |
      | internalPorts [-1, 7755]                    | refused |
      | seeds ["10.1.0.42:7740"]                    | taken   |
      | seeds ["10.1.0.42:²"]                       | refused |
      | seeds ["10.1.0.42:99999"]                   | refused |
      | seeds ["a b:7740"]                          | refused |
      | platform {address: "10.200.1.7:0"}          | refused |
      | platform {address: "a\u0000b:8624"}         | refused |
      | balancing {}                                | taken   |
      | balancing {policy: expected-wait}           | taken   |
      | balancing {policy: stale-aware}             | taken   |
      | balancing {policy: evenly}                  | refused |
      | balancing {policy: 3}                       | refused |
      | balancing stale-aware                       | refused |
      | ip "10.1.0.41 "                             | refused |
      | nodeName ""                                 | refused |
      | odd 2026-99-99                              | refused |
      | odd {[1]: 2}                                | refused |
      | odd *unknown                                | refused |
      | odd of 5000 digits                          | refused |
      | 3000 nested arrays                          | refused |
      | 200000 nested arrays                        | refused |
      | nothing                                     | refused |
      | nothing but bytes                           | refused |

  Scenario: any settings file is read or refused with its mistakes
    Then any settings file is read or refused with its mistakes
