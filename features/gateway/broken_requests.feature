Feature: Requests that break off
  A caller that stops within a request has not sent it. A server that takes the end of the
  connection for the end of the request runs a request that nobody sent.

  Scenario Outline: <server> runs no request <framing> that ends early by a <ending>
    # Guards against running a part of a request, at every position at which it can break off.
    Then <server> runs a request <framing> only if it is whole, and not if it ends early by a <ending>

    Examples:
      | server         | framing                | ending |
      | a serving node | with a length          | close  |
      | a serving node | with a length          | reset  |
      | a serving node | in chunks              | close  |
      | a serving node | in chunks              | reset  |
      | a serving node | without a body         | close  |
      | a serving node | after another request  | close  |
      | a native node  | with a length          | close  |
      | a native node  | with a length          | reset  |
      | a native node  | in chunks              | close  |
      | a native node  | after another request  | close  |
      | an operator's node | with a length      | close  |
      | an operator's node | in chunks          | close  |
