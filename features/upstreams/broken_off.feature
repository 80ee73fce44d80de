Feature: Responses that break off
  A server that stops within a response and closes the connection has not answered. A client that
  takes the end of the connection for the end of the head, of a chunk size or of the trailers
  passes on an answer without its body, or believes a refusal that was not stated.

  Scenario Outline: <client> does not believe <status> <framing> that ends early by a <ending>
    # Guards against a response that breaks off and is taken for a whole one, at every position.
    Then <client> believes <status>, sent <framing>, only if it is whole, and not if it ends early by a <ending>

    Examples: the path of forwarded requests
      | client              | status                | framing             | ending |
      | a forwarded request | 200                   | with a length       | close  |
      | a forwarded request | 200                   | with a length       | reset  |
      | a forwarded request | 200                   | in chunks           | close  |
      | a forwarded request | 200                   | in chunks           | reset  |
      | a forwarded request | 200                   | after 1xx responses | close  |
      | a forwarded request | 200                   | with LF line ends   | close  |
      | a forwarded request | 200                   | without a length    | reset  |
      | a forwarded request | 503                   | with a length       | close  |
      | a forwarded request | the head of a 200     | without a length    | close  |
      | a forwarded request | the head of a 503     | without a length    | close  |
      | a forwarded request | the head of a 421     | after 1xx responses | close  |

    Examples: calls of stages
      | client       | status | framing             | ending |
      | a stage call | 200    | with a length       | close  |
      | a stage call | 200    | in chunks           | reset  |
      | a stage call | 503    | with a length       | close  |
      | a stage call | 409    | in chunks           | close  |
      | a stage call | 421    | after 1xx responses | close  |

    Examples: calls of native nodes
      | client          | status            | framing             | ending |
      | a native call   | 200               | with a length       | close  |
      | a native call   | 200               | in chunks           | close  |
      | a native call   | 200               | after 1xx responses | reset  |
      | a native call   | the head of a 503 | with a length       | close  |
      | a token stream  | 200               | in chunks           | close  |
      | a command       | 200               | with a length       | close  |
      | a command       | 409               | in chunks           | close  |
      | an operator     | 200               | in chunks           | close  |
      | a soak caller   | 200               | with a length       | close  |
      | a soak caller   | 200               | in chunks           | close  |

    Examples: calls of the platform's store and of etcd
      | client        | status            | framing          | ending |
      | a store write | 200               | with a length    | close  |
      | a store write | 200               | in chunks        | reset  |
      | a store write | 404               | with a length    | close  |
      | a store write | 412               | in chunks        | close  |
      | a store write | 429               | with a length    | close  |
      | a store write | 503               | with a length    | close  |
      | a lease       | 200               | with a length    | close  |
      | a store read  | 200               | with a length    | close  |
      | a store read  | 404               | in chunks        | close  |
      | an etcd write | 200               | with a length    | close  |
      | an etcd write | 409               | in chunks        | close  |
      | an etcd write | 429               | with a length    | close  |
      | an etcd read  | 200               | in chunks        | close  |
      | an etcd watch | the head of a 200 | without a length | close  |

  Scenario Outline: a response with <fault> is malformed for <client>
    # Guards against a body whose end is unknown because its head or its chunks were misread.
    Then <client> does not believe a response with <fault>

    Examples:
      | client              | fault                            |
      | a forwarded request | a header line without a colon    |
      | a forwarded request | a blank before a colon           |
      | a forwarded request | a folded field                   |
      | a forwarded request | a bare CR in a field             |
      | a forwarded request | two lengths                      |
      | a forwarded request | a length that is no number       |
      | a forwarded request | a negative length                |
      | a forwarded request | an unknown transfer coding       |
      | a forwarded request | a signed chunk size              |
      | a forwarded request | a chunk size with an underscore  |
      | a forwarded request | a chunk longer than its size     |
      | a forwarded request | a status that switches protocols |
      | a forwarded request | a blank before its status line   |
      | a forwarded request | a control character in a version |
      | a forwarded request | a status of two digits           |
      | a forwarded request | a malformed interim response     |
      | a native call       | a header line without a colon    |
      | a native call       | two lengths                      |
      | a native call       | a signed chunk size              |
      | a store write       | a length that is no number       |
      | a store write       | a signed chunk size              |
      | an etcd write       | a folded field                   |

    Examples: only 100 to 599 are statuses (RFC 9110, 15)
      | client              | fault                            |
      | a forwarded request | the status 000                   |
      | a forwarded request | the status 099                   |
      | a forwarded request | the status 20                    |
      | a forwarded request | the status 2000                  |
      | a forwarded request | the status -200                  |
      | a forwarded request | the status 600                   |
      | a forwarded request | the status 999                   |
      | a forwarded request | no status                        |
      | a stage call        | the status 000                   |
      | a stage call        | the status 600                   |
      | a stage call        | the status 999                   |
      | a native call       | the status 000                   |
      | a native call       | the status 600                   |
      | a native call       | the status 999                   |
      | a token stream      | the status 000                   |
      | a token stream      | the status 600                   |
      | a token stream      | the status 999                   |
      | a command           | the status 000                   |
      | a command           | the status 600                   |
      | a command           | the status 999                   |
      | an operator         | the status 000                   |
      | an operator         | the status 600                   |
      | an operator         | the status 999                   |
      | a soak caller       | the status 000                   |
      | a soak caller       | the status 600                   |
      | a soak caller       | the status 999                   |
      | a store write       | the status 000                   |
      | a store write       | the status 600                   |
      | a store write       | the status 999                   |
      | a store read        | the status 000                   |
      | a store read        | the status 600                   |
      | a store read        | the status 999                   |
      | a lease             | the status 000                   |
      | a lease             | the status 600                   |
      | a lease             | the status 999                   |
      | an etcd write       | the status 000                   |
      | an etcd write       | the status 600                   |
      | an etcd write       | the status 999                   |

  Scenario Outline: <client> believes no <status> of a server that resets the connection while it writes
    # Guards against a write that reports the reset, after which the end of the connection looks like that of the body.
    Then <client> believes no <status> without a length that is reset before the request is written

    Examples:
      | client              | status |
      | a forwarded request | 200    |
      | a stage call        | 200    |
      | a native call       | 200    |
      | a token stream      | 200    |
      | a command           | 200    |
      | a store write       | 200    |
      | a lease             | 200    |
      | an etcd write       | 200    |

  Scenario Outline: a response with <form> is whole for <client>
    # Guards against strictness that refuses what sound servers may send.
    Then <client> believes a response with <form>

    Examples:
      | client              | form                            |
      | a forwarded request | a blank behind the length       |
      | a forwarded request | the same length twice           |
      | a forwarded request | a blank before a chunk's note   |
      | a forwarded request | capital letters in its coding   |
      | a forwarded request | a multipart type                |
      | a forwarded request | an empty field                  |
      | a native call       | the same length twice           |
      | a store write       | a blank before a chunk's note   |

  Scenario Outline: the outcome of <client> that is answered with <response> is <outcome>
    # Guards against a write that may have been applied and is reported as not applied.
    Then the outcome of <client> that is answered with <response> is <outcome>

    Examples: only 503 and 429 state that nothing was done
      | client        | response              | outcome |
      | a store write | a 200 without JSON    | unknown |
      | a lease       | a 200 without JSON    | unknown |
      | a store write | a 500                 | unknown |
      | a store write | a 502                 | unknown |
      | a store write | a 504                 | unknown |
      | a lease       | a 500                 | unknown |
      | a store write | a 503                 | known   |
      | a store write | a 429                 | known   |
      | an etcd write | a 200 without JSON    | unknown |
      | an etcd write | a 500                 | unknown |

  Scenario: a response with any change is read by the grammar or refused
    # Guards against a body or a status that is not the one that the bytes say.
    Then a forwarded request reads changed responses by the grammar or not at all
