Feature: Node processes that stop
  A node process completes what it has read, whatever signals it gets, and exits with status 0.

  # Guards against signals that end or prolong a stop.
  Scenario: node processes complete their requests and exit once, whatever signals they get
    Given 4 nodes as processes
    When each node process gets its signals while it serves a request of 1 s
      | signals                 |
      | SIGTERM                 |
      | SIGTERM, SIGTERM        |
      | SIGTERM, SIGHUP         |
      | SIGHUP, SIGTERM, SIGHUP |
    Then each request is answered, and each process exits once, with status 0

  # Guards against nodes that refuse what they can still complete when nobody else is left.
  Scenario: all nodes stop at once, and each still serves what it can complete
    Given 2 nodes as processes
    When all node processes get SIGTERM
    Then requests with a deadline of 2000 ms are answered by each node
