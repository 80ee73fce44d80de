Feature: Responses without end
  A server that sends bytes without end must not take the memory of its client, whichever client it is.

  # Guards against a client that keeps whatever arrives.
  Scenario Outline: <client> gives up <bytes> without end
    When <client> gets <bytes> without end
    Then it has read at most <megabytes> MB, and knows no outcome

    Examples:
      | client              | bytes                | megabytes |
      | a forwarded request | a body               | 100       |
      | a forwarded request | chunks               | 100       |
      | a stage call        | a body               | 100       |
      | a native call       | a body of 1 PB       | 100       |
      | a native call       | chunks               | 100       |
      | a command           | a body               | 50        |
      | a command           | chunks               | 50        |
      | a store read        | a body               | 50        |
      | a store read        | a body of 1 PB       | 50        |
      | a store read        | chunks               | 50        |
      | a store read        | a head               | 50        |
      | a store write       | chunks               | 50        |
      | an etcd read        | a body               | 50        |
      | an etcd read        | chunks               | 50        |
      | an etcd write       | a body               | 50        |
      | an operator         | a body               | 50        |

  # Guards against answers of several upstreams whose sum has no bound, and against sound ones that give way to floods.
  Scenario Outline: with <others>, an answer of <size> kB <outcome>
    Given a budget of 1000 kB for buffers
    And <others>
    When a buffer grows to <size> kB, in steps of 10 kB
    Then the growing buffer <outcome>
    And the buffers hold at most 1000 kB

    Examples: the largest buffer that still grows gives way
      | others                                  | size | outcome                        |
      | no other buffers                        | 500  | is whole                       |
      | no other buffers                        | 510  | exceeds its share              |
      | 2 whole ones of 450 kB                  | 100  | is whole                       |
      | 2 whole ones of 450 kB                  | 120  | does not fit                   |
      | 2 growing ones of 450 kB                | 100  | is whole                       |
      | 2 growing ones of 450 kB                | 120  | is whole, and 1 has given way  |
      | 2 growing ones of 450 kB                | 400  | is whole, and 1 has given way  |
      | 20 growing ones of 45 kB                | 120  | does not fit                   |

  Scenario: buffers that end give their bytes back
    Given a budget of 1000 kB for buffers
    And 2 growing ones of 450 kB
    When all buffers end
    Then the buffers hold at most 0 kB
