Feature: Input checks of the HTTP interface
  Invalid input must be answered with a numbered problem and must not affect other requests.

  Scenario Outline: <fault> is answered with code <code>
    Given a gateway over a fake node
    When the gateway receives a request with <fault>
    Then the gateway answers status <status> with problem code <code> and executed <executed>
    And the gateway still answers a correct request

    Examples:
      | fault              | status | code | executed |
      | malformed JSON     | 400    | 1001 | no       |
      | deeply nested JSON | 400    | 1001 | no       |
      | invalid UTF-8      | 400    | 1001 | no       |
      | a JSON array       | 422    | 1003 | no       |
      | a text max_tokens  | 422    | 1003 | no       |
      | a text stream flag | 422    | 1003 | no       |
      | a number as prompt | 422    | 1003 | no       |
      | an oversized body  | 413    | 1002 | no       |
      | oversized headers  | 431    | 1006 | no       |
      | an unknown path    | 404    | 1004 | no       |
      | a wrong method     | 405    | 1005 | no       |
      | unknown pipeline   | 404    | 1201 | no       |
      | unknown operation  | 404    | 1202 | no       |
      | a past deadline    | 504    | 1302 | no       |
      | a long deadline    | 400    | 1301 | no       |
      | a text deadline    | 400    | 1301 | no       |
      | no idempotency key | 400    | 1501 | no       |
      | a bad request line | 400    | 1001 | no       |
      | a slow body        | 408    | 1007 | no       |
      | two lengths        | 400    | 1001 | no       |
      | a length beside chunks  | 400 | 1001 | no     |
      | a chunk size zz    | 400    | 1001 | no       |
      | a signed chunk size | 400   | 1001 | no       |
      | a chunk beyond its size | 400 | 1001 | no     |
      | oversized chunks   | 413    | 1002 | no       |
      | a folded field     | 400    | 1001 | no       |

  Scenario Outline: <key> is refused for the <resource> resource
    Accepting a key without the right to a resource would reveal another organisation's data.

    Given a gateway over a fake node
    When the gateway receives <key> for the <resource> resource
    Then the gateway answers status <status> with problem code <code> and executed no

    Examples:
      | key                        | resource    | status | code |
      | no key                     | pipeline    | 401    | 1101 |
      | a wrong key                | pipeline    | 401    | 1102 |
      | an expired key             | pipeline    | 401    | 1103 |
      | a basic scheme             | pipeline    | 401    | 1101 |
      | no key                     | service     | 401    | 1101 |
      | a wrong key                | service     | 401    | 1102 |
      | an expired key             | service     | 401    | 1103 |
      | no key                     | order       | 401    | 1101 |
      | a wrong key                | order       | 401    | 1102 |
      | another organisation's key | order       | 404    | 1204 |
      | no key                     | explanation | 401    | 1101 |
      | a wrong key                | explanation | 401    | 1102 |
      | another organisation's key | explanation | 404    | 1203 |
      | no key                     | status      | 401    | 1101 |
      | an organisation's key      | status      | 401    | 1102 |
      | an organisation's key      | releases    | 401    | 1102 |
      | an organisation's key      | accept      | 401    | 1102 |

  Scenario: a disconnect of the caller cancels its request
    A request whose caller has disconnected would occupy an upstream for nothing.

    Given a gateway over a fake node
    When the gateway loses the caller of a running request
    Then the gateway cancels the request at the node

  Scenario Outline: the look-up names nodes of zone <zone> first and omits leaving nodes
    A caller that is sent to a leaving node loses its connection when the node stops.

    When the gateway looks up endpoints for zone <zone> with node <leaving> leaving
    Then the look-up returns <first> first and never <leaving>

    Examples:
      | zone   | leaving | first |
      | quito  | n3      | n1    |
      | ambato | n1      | n2    |
