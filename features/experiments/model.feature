Feature: Load and figures of experiments
  Wrong arrivals or figures would make every comparison of policies void.

  Scenario Outline: <profile> has the users' site and a capacity of about <capacity> requests/s
    A change of the data that moves the first limit would change what all scenarios test.
    Given experiments profile <profile>
    Then experiments profile has <zones> zones, <engines> engines, <workers> workers per service and <organisations> organisations
    And experiments profile has latencies of <between> ms between zones and <clients> ms to clients
    And experiments profile has a capacity of <capacity> requests/s set by team models concurrency

    Examples:
      | profile      | zones | engines | workers | organisations | between | clients | capacity |
      | paramo       | 4     | 6       | 4       | 5             | 1.5     | 3.0     | 43       |
      | puzzle-guild | 3     | 6       | 3       | 5             | 1.0     | 1.0     | 45       |

  Scenario Outline: <name> offers <count> requests of which <share> are <what>
    Given experiments profile paramo
    When experiments arrivals of <name> over 400 s are generated
    Then experiments arrivals number about <count>
    And experiments arrivals are about <share> <what>
    And experiments arrivals are the same for the same seed and differ for another

    Examples:
      | name               | count | share | what               |
      | nominal            | 10374 | 0.42  | of refill-press    |
      | nominal            | 10374 | 0.10  | orders             |
      | burst-uploads      | 13210 | 0.41  | of kind upload     |
      | noisy-organisation | 17290 | 0.57  | of volcano-books   |
      | overload           | 27664 | 0.50  | of kind question   |
      | skewed-callers     | 14696 | 0.90  | pinned             |
      | platform-outage    | 10374 | 0.25  | orders             |

  Scenario Outline: <limit> is used by <uses> when work arrives
    A wrong account of use would hide that a limit was exceeded.
    Given experiments work for <limit> with arrival, end and tokens of <work>
    Then experiments use at the arrivals is <uses>

    Examples:
      | limit                 | work                          | uses    |
      | team/a/concurrency    | 0-2-1 1-3-1 2-4-1 2.5-9-1     | 1 2 2 3 |
      | team/a/concurrency    | 0-inf-1 5-6-1 7-8-1           | 1 2 2   |
      | team/a/requests_per_s | 0-1-1 0.5-1-1 1.0-2-1 1.2-2-1 | 1 2 2 3 |
      | team/a/tokens_per_s   | 0-1-5 0.9-1-7 1.5-2-1         | 5 12 8  |

  Scenario Outline: misses of <own> against <other> of the baseline are <verdict>
    Given experiments results with attainment <own> and a baseline of <other>
    Then experiments bound on misses of a third is <verdict>

    Examples:
      | own   | other | verdict      |
      | 0.99  | 0.97  | met          |
      | 0.99  | 0.98  | missed       |
      | 1.0   | 1.0   | met          |
      | 0.999 | 1.0   | missed       |
      | 0.5   | none  | not measured |

  Scenario: a late start counts as latency
    Time that a request waits in the load generator must not be lost (coordinated omission).
    When experiments send a request whose intended time was 2 s ago
    Then experiments record a latency of at least 2 s and a lag of at least 2 s

  Scenario Outline: a caller whose first node <behaviour> ends as <outcome> after <attempts> attempts
    Given experiments nodes of which the first <behaviour>
    When experiments send <request>
    Then experiments record <outcome> after <attempts> attempts with the same key

    Examples:
      | behaviour                   | request     | outcome              | attempts |
      | refuses as not executed     | an order    | answered             | 2        |
      | refuses as not executed     | a question  | answered             | 2        |
      | refuses as unknown          | an order    | unknown              | 1        |
      | refuses without retry       | a question  | refused_not_executed | 1        |
      | breaks the connection       | an order    | answered             | 2        |
      | breaks the connection       | a question  | answered             | 2        |
      | breaks the stream           | a question  | answered             | 2        |

  Scenario: a stand-in's record names the end of each attempt
    Without ends the use of a team's limit over several upstreams cannot be computed.
    When experiments stand-in record sees attempts a-1 and a-2 arrive and a-1 end
    Then experiments stand-in record has an end of a-1 after its arrival and none of a-2

  Scenario: goodput counts whole answers of the pipeline within the named part of a run
    Answers of plain services, which are far from their limits, would hide an overloaded pipeline.
    Given experiments evidence of these requests in a run of 100 s
      | at | target  | outcome              |
      | 15 | answers | answered             |
      | 20 | answers | answered             |
      | 25 | stock   | answered             |
      | 30 | answers | late                 |
      | 39 | answers | refused_not_executed |
      | 60 | answers | answered             |
      | 70 | stock   | answered             |
    When experiments evidence of overload is evaluated
    Then experiments goodput is 2 answers in 30 s of capacity and 1 answer in 50 s of overload
    And experiments attainment is 5 of 7 and that of stock 1

  Scenario Outline: a request that hangs at a node which <state> counts as <lost> lost results
    A node that a scenario pauses cannot answer; any other node has to.
    Given experiments evidence of a request that hangs at a node which <state>
    When experiments evidence of nominal is evaluated
    Then experiments lost results are <lost>

    Examples:
      | state                     | lost |
      | has no fault              | 1    |
      | is paused meanwhile       | 0    |
      | was paused long before it | 1    |

  Scenario Outline: <lookups> look-ups serve <requests> requests while an answer lives for <lifetime> s
    Callers that ask before each request would double the load; callers that never ask again would
    keep connecting to nodes that have left.
    When experiments look up addresses <requests> times with a lifetime of <lifetime> s
    Then experiments have asked <lookups> times

    Examples:
      | requests | lifetime | lookups |
      | 20       | 60       | 1       |
      | 20       | 0        | 20      |

  Scenario: a failed node is tried last, and an unreachable look-up keeps the last answer
    When experiments look up addresses, forget the first and lose all nodes
    Then experiments still know all addresses with the forgotten one last
    And experiments callers without an earlier answer get an error

  Scenario Outline: a note that <verdict> and sets a limit of 20 to <capacity> is recorded as <events>
    Nodes use a raised limit before the operator hears of it, which is no violation.
    When experiments submit a note that sets the limit to <capacity> and <verdict>
    Then experiments history of the limit is <events>

    Examples:
      | verdict     | capacity | events             |
      | is accepted | 30       | 30, submission     |
      | is accepted | 12       | submission, 12     |
      | is refused  | 30       | 30, submission, 20 |
      | is refused  | 12       | submission         |
