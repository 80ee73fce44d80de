Feature: Names and formats of the platform
  A field that is read or written wrongly sends a request to the wrong place or claims what is
  not true.

  Scenario Outline: the value of <key> with <change> is <read>
    Given the platform's example of <key>
    When the example has <change>
    Then the platform's value is <read>

    Examples: other writers' values name no upstream; unknown fields are ignored
      | key          | change                       | read       |
      | servers/i-1  | nothing                      | read       |
      | servers/i-1  | extra = 1                    | read       |
      | servers/i-1  | state = "resting"            | unreadable |
      | servers/i-1  | address = 17                 | unreadable |
      | servers/i-1  | address = "nowhere"          | unreadable |
      | servers/i-1  | service missing              | unreadable |
      | servers/i-1  | bytes that are no document   | unreadable |
      | op/config    | nothing                      | read       |
      | op/config    | extra = 1                    | read       |
      | op/config    | version = "seven"            | unreadable |
      | op/config    | routes missing               | unreadable |

  Scenario: a configuration becomes routes, services and keys
    Given the platform's example of op/config
    Then route "/cufi/" of "a.example" is a stream of rank 0 with 3 stages and a target of 2 s
    And route "/puxa/" of "b.example" splits 90 to 10 and may be resumed
    And the service "kafi" takes 4 pieces a call with room for 9000000 bytes
    And key "k1" belongs to organisation "bozi"

  Scenario Outline: header <name> of a caller is <passed> to the upstream
    When a request with header <name> is passed on to i-7 for organisation "bozi"
    Then the upstream gets header <name> <passed>

    Examples: keys and what only the system states never come from callers
      | name                         | passed           |
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

  Scenario Outline: header <header> is refused as malformed
    When a request with <header> is read
    Then the request is malformed

    Examples:
      | header                              |
      | no Chervilrack-Request-Id           |
      | Chervilrack-Deadline-Ms: soon       |
      | Chervilrack-Token-Usage: 1460       |
      | Chervilrack-Prefix-Hash: 5c1e:many  |
      | Chervilrack-Chunk-Count: 1,x        |

  Scenario Outline: an answer <status> with <header> was <run>
    Then the platform's answer <status> with <header> was <run>

    Examples: only the statement itself or a misdirection mean that a request was not run
      | status | header                            | run     |
      | 503    | Chervilrack-Not-Executed: 1       | not run |
      | 503    | no header                         | run     |
      | 429    | no header                         | run     |
      | 421    | Chervilrack-Instance-Id: i-2      | not run |
      | 409    | Chervilrack-Not-Executed: 1       | not run |
      | 500    | Chervilrack-Response-Signature: x | run     |

  Scenario Outline: results <body> of a call with <count> pieces are <read>
    Then results <body> of <count> pieces are <read>

    Examples:
      | count | body                                                        | read             |
      | 2     | {"entries":[{"handle":"1.2.3.4:8/a"},{"reason":"gone"}]}    | handle, input gone |
      | 1     | {"entries":[{"reason":"room"}]}                             | no room          |
      | 1     | {"entries":[{"reason":"new word"}]}                         | error            |
      | 2     | {"entries":[{"handle":"1.2.3.4:8/a"}]}                      | malformed        |
      | 1     | {"entries":                                                 | malformed        |

  Scenario: settings report all mistakes at once and ignore unknown keys
    When the platform's settings lack zone and have a frontend without port
    Then 2 mistakes are reported that name zone and frontend

  Scenario Outline: an answer <status> with <header> says that stage results are <state>
    Then the platform's answer <status> with <header> says that stage results are <state>

    Examples:
      | status | header                      | state |
      | 409    | Chervilrack-Not-Executed: 1 | gone  |
      | 409    | no header                   | there |
      | 503    | Chervilrack-Not-Executed: 1 | there |
