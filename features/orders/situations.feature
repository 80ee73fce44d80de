Feature: Orders in fixed situations
  Each situation could make an order run twice, or give a caller a wrong answer about it.

  Scenario Outline: order executors handle <situation>
    Then order executors handle the situation "<situation>"

    Examples:
      | situation |
      | orders from every node |
      | group size |
      | concurrent duplicates |
      | other body under the key |
      | look up by organisation |
      | executor crash while running |
      | key of an order not executed |
      | superseded executor |
      | lost ticket write |
      | lost ticket response |
      | orders in an outage are recorded later |
      | outage grants behind relays |
      | lost write over a reused key |
      | executor crash in outage |
      | cut off executor records late |
      | platform unreachable from executor only |
      | grant of one witness |
      | owner of unsealed epoch |
      | late copy of refused order |
      | late copy after restart |
      | old records expire |

  Scenario Outline: order executors need the <guard>
    Then without the guard "<guard>" order executors fail the situation "<situation>"

    Examples:
      | guard | situation |
      | view comparison of the ticket | superseded executor |
      | read-back of the ticket | lost ticket write |
      | ticket that names the process | executor crash while running |
      | outage grant | grant of one witness |
      | majority of grants | grant of one witness |
      | platform silence at the witness | platform unreachable from executor only |
      | activation before a take-over | owner of unsealed epoch |
      | retry horizon | executor crash in outage |
      | fingerprint | other body under the key |
      | detection of repeated copies | late copy of refused order |

  Scenario: every guard is checked
    Then the situations of orders check every guard once

  Scenario Outline: an order record with <mistake> is rejected
    Then an order record with "<field>" set to <value> is rejected

    Examples:
      | mistake          | field   | value |
      | an unknown field | other   | 1     |
      | another format   | format  | 2     |
      | a wrong type     | created | "now" |
