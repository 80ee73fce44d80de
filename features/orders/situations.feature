Feature: Orders in fixed situations
  Each situation has once been, or would be, a way to run an order twice or to report it wrongly.

  Scenario Outline: orders handle <situation>
    Then orders pass the situation "<situation>"

    Examples:
      | situation |
      | orders from every node |
      | group size |
      | concurrent duplicates |
      | other body under the key |
      | look up by organisation |
      | executor crash while running |
      | not executed key is free |
      | superseded executor |
      | lost ticket write |
      | lost ticket response |
      | outage and flush |
      | outage with relays |
      | lost flush over free key |
      | executor crash in outage |
      | cut off executor flushes late |
      | platform away from executor only |
      | grant of one witness |
      | owner of unsealed epoch |
      | late copy of refused order |
      | late copy after restart |
      | old records expire |

  Scenario Outline: orders without the <guard> fail
    Then orders without the guard "<guard>" fail the situation "<situation>"

    Examples:
      | guard | situation |
      | view comparison of the ticket | superseded executor |
      | read-back of the ticket | lost ticket write |
      | ticket that names the process | executor crash while running |
      | outage grant | grant of one witness |
      | majority of grants | grant of one witness |
      | platform silence at the witness | platform away from executor only |
      | activation before a take-over | owner of unsealed epoch |
      | retry horizon | executor crash in outage |
      | fingerprint | other body under the key |
      | memory of received orders | late copy of refused order |

  Scenario: every guard has a situation
    Then orders name a situation for every guard

  Scenario Outline: a record with <mistake> is rejected
    Then orders reject a record with "<field>" set to <value>

    Examples:
      | mistake          | field   | value |
      | an unknown field | other   | 1     |
      | another format   | format  | 2     |
      | a wrong type     | created | "now" |
