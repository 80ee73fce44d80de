Feature: Eras of the platform's store
  The store may come back from an older copy of itself. Its revisions and the numbers of leases are then given out
  again, and the era in its answers rises by one.

  # Guards against an answer that is taken for a later one because it bears a higher revision.
  Scenario Outline: an answer that states <stated> after era <seen>, to a call of era <begun>, <result>
    When a node that has seen era <seen> gets an answer that states <stated> to a call of era <begun>
    Then the answer <result>
    And the node has counted <event>

    Examples: an era that is missing or odd is that of the last answer
      | seen | begun | stated               | result           | event                    |
      | 0    | 0     | nothing              | is of era 0      | nothing                  |
      | 0    | 0     | 7                    | is of era 7      | nothing                  |
      | 3    | 3     | 3                    | is of era 3      | nothing                  |
      | 3    | 3     | 4                    | is of era 4      | nothing                  |
      | 3    | 3     | 6                    | is of era 6      | era rose by more than one |
      | 3    | 3     | nothing              | is of era 3      | era missing              |
      | 3    | 3     | soon                 | is of era 3      | era not a number         |
      | 3    | 3     | -4                   | is of era 3      | era not a number         |
      | 3    | 3     | 4.0                  | is of era 3      | era not a number         |
      | 3    | 3     | 4, 4                 | is of era 3      | era not a number         |
      | 3    | 3     | 99999999999999999999 | is of era 3      | era not a number         |
      | 3    | 3     | 9223372036854775808  | is of era 3      | era not a number         |
      | 0    | 0     | soon                 | is of era 0      | era not a number         |
      | 3    | 2     | 2                    | is dropped       | older answer dropped     |
      | 3    | 2     | nothing              | is dropped       | era missing, older answer dropped |
      | 3    | 3     | 2                    | is dropped       | era fell, older answer dropped |

  Scenario: a store that states nothing but an older era is used again after a time
    When a node that has seen era 3 gets answers of era 2 for 3 s
    Then the answer is of era 3
    And each kind of odd era is logged once

  # Guards against a listing whose pages are of two eras, a watch that goes on in another era, and calls for a lease of one.
  Scenario Outline: the store returns from a copy <when>
    Given a store in era 1 with 5 upstreams, of which a copy is kept
    When 3 upstreams register, and the store returns <when>
    Then the client <result>

    Examples:
      | when                          | result                                      |
      | between two pages             | lists what the copy has, at an era of 2     |
      | during each of its listings   | has no listing                              |
      | while it watches              | has to list again                           |
      | while it watches, and 9 register | has to list again                        |
      | between a grant and a write   | is told that the lease has expired          |
      | with a watch of era 3         | drops the answer                            |

  Scenario Outline: the store in memory returns from a copy: <what>
    Given a store in memory of which a copy is kept
    When a key is written under a lease, and the store in memory returns
    Then <what>

    Examples:
      | what                                           |
      | the key is gone, in era 1                      |
      | the next write has the same revision           |
      | the next lease has the same number             |
      | a watch from the lost revision is compacted    |
      | a watch of era 0 is compacted                  |
