Feature: Memory of a node whose upstreams or callers send bytes without end
  A node keeps an answer until it is whole, and the body of a request until the request has ended. Whatever arrives, the
  node stays below its memory limit, above which it would be killed with the requests of all callers.

  # Guards against answers without end whose sum exceeds the memory of the node (LOST).
  Scenario: a node whose upstreams send floods stays below its memory limit, and serves other callers
    Given 1 nodes as processes
    And 2 plain upstreams that send floods
    When 24 requests at once get, one kind after the other, a flood of
      | bytes                |
      | bytes without length |
      | bytes of huge length |
      | chunks               |
      | error bytes          |
    Then the node process has never had more than 300 MB
    And no caller got an answer of a flood
    And all streams beside them were answered

  # Guards against bodies of requests whose sum exceeds the memory of the node.
  Scenario: a node to which callers send many large bodies at once stays below its memory limit
    Given 1 nodes as processes
    And callers may send bodies of 4194304 bytes
    When 100 requests with bodies of 3900000 bytes are sent at once
    Then the node process has never had more than 300 MB
    And each of them is answered, or refused as not run
    When 10 requests with bodies of 100 bytes are sent at once
    Then each of them is answered

  # Guards against a refusal that is lost, as the connection is reset while its caller still sends.
  Scenario: a caller that is still sending a body gets the refusal
    Given 1 nodes as processes
    And callers may send bodies of 4194304 bytes
    And 16 callers that have begun to send bodies of 3900000 bytes
    When another caller sends a body of 3900000 bytes within 3 s
    Then it gets status 503 once it has sent all of it

  # Guards against memory that stays with the process after the requests that needed it.
  Scenario: the memory of large answers goes back when their requests end
    Given 1 nodes as processes
    And 2 plain upstreams that send floods
    When 24 requests at once get, one kind after the other, a flood of
      | bytes                |
      | bytes without length |
      | chunks               |
    Then the node process has at most 40 MB more than before
