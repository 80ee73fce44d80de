Feature: Requests that wait while the configuration changes
  A request is served to its end under the configuration under which it was admitted, or it is
  refused and has not been run. A change must not leave a request without an answer, wherever the
  request waits.

  Background:
    Given a serving node with stand-ins for the platform

  # Guards against requests that get no answer, or another one, because the configuration changes.
  Scenario Outline: a request that waits for <place> is answered whole if <change>
    Given a request that waits for <place>
    When the configuration changes so that <change>
    And the request goes on
    Then the caller gets the whole answer of the service at its admission
    And the request was run <runs> times
    And no request is in progress

    Examples: its first stages
      | place            | runs | change                                    |
      | its first stage  | 1    | all routes go to another service          |
      | its first stage  | 1    | there are no routes                       |
      | its first stage  | 1    | there are no services                     |
      | its first stage  | 1    | the routes have no stages                 |
      | its first stage  | 1    | the stages go to another service          |
      | its first stage  | 1    | the traffic is split with another service |
      | its first stage  | 1    | requests time out after 1 ms              |
      | its first stage  | 1    | nothing may be repeated or resumed        |
      | its first stage  | 1    | the organisation is gone                  |
      | its first stage  | 1    | the key is revoked                        |
      | its first stage  | 1    | the organisation has another priority     |
      | its first stage  | 1    | connections may be idle for 50 ms         |
      | its first stage  | 1    | bodies may have 1 byte                    |
      | its first stage  | 1    | there are 350 more routes                 |

    Examples: its last stages
      | place            | runs | change                                    |
      | its second stage | 1    | all routes go to another service          |
      | its second stage | 1    | there are no services                     |
      | its second stage | 1    | the stages go to another service          |
      | its second stage | 1    | the key is revoked                        |

    Examples: the answer of an upstream
      | place            | runs | change                                    |
      | an answer        | 1    | all routes go to another service          |
      | an answer        | 1    | there are no routes                       |
      | an answer        | 1    | there are no services                     |
      | an answer        | 1    | requests time out after 1 ms              |
      | an answer        | 1    | the organisation is gone                  |
      | an answer        | 1    | the key is revoked                        |
      | an answer        | 1    | connections may be idle for 50 ms         |
      | an answer        | 1    | there are 350 more routes                 |

    Examples: a further attempt after the upstream has failed
      | place            | runs | change                                    |
      | a second attempt | 2    | all routes go to another service          |
      | a second attempt | 2    | there are no routes                       |
      | a second attempt | 2    | nothing may be repeated or resumed        |
      | a second attempt | 2    | requests time out after 1 ms              |
      | a second attempt | 2    | the key is revoked                        |

    Examples: the next event of its stream
      | place            | runs | change                                    |
      | the next event   | 1    | all routes go to another service          |
      | the next event   | 1    | there are no routes                       |
      | the next event   | 1    | requests time out after 1 ms              |
      | the next event   | 1    | nothing may be repeated or resumed        |
      | the next event   | 1    | the key is revoked                        |
      | the next event   | 1    | connections may be idle for 50 ms         |
      | the next event   | 1    | there are 350 more routes                 |

    Examples: the rest of its body
      | place            | runs | change                                    |
      | its body         | 1    | connections may be idle for 50 ms         |
      | its body         | 1    | bodies may have 1 byte                    |
      | its body         | 1    | there are 350 more routes                 |

  # Guards against a request without route that is dropped instead of being told so.
  Scenario Outline: a request whose <part> goes before it is read whole is refused with <status>
    Given a request that waits for its body
    When the configuration changes so that <change>
    And the request goes on
    Then the caller gets status <status>
    And no upstream ran anything

    Examples:
      | part  | change              | status |
      | route | there are no routes | 404    |
      | key   | the key is revoked  | 401    |

  # Guards against a request that no thread reads, and that so gets neither an answer nor a refusal.
  Scenario Outline: a request that waits for a thread gets status <status> if <change>
    Given a node whose threads are all busy, where requests wait <wait> for a thread
    And a caller that sends a plain request to the busy node
    When the configuration changes so that <change>
    And the threads become free <when> the request is answered
    Then the waiting caller gets status <status>
    And the request that waited has run <runs> times
    And the log has the refusal of that request with code <code>

    Examples: it is read under the configuration in force then, or refused without being run
      | wait        | change                           | when   | status | runs | code |
      | as usual    | the key is revoked               | after  | 503    | 0    | 1304 |
      | as usual    | there are 350 more routes        | after  | 503    | 0    | 1304 |
      | long enough | connections may be idle for 50 ms | before | 200   | 1    | none |
      | long enough | the key is revoked               | before | 401    | 0    | 1102 |
      | long enough | there are no routes              | before | 404    | 0    | 1004 |

  # Guards against calls to upstreams that drain, after their service has left the configuration.
  Scenario: pieces of a service that is no longer configured go to the upstreams that are ready
    Given a request that waits for its first stage
    And another request whose first stage waits for the call of that request
    When the configuration changes so that there are no services
    And the upstream of the first stage drains and another one is ready
    And the request goes on
    Then both callers get the whole answer
    And the pieces of the other request ran at the other upstream

  # Guards against an exception that ends a connection, and keeps the node from stopping in time.
  Scenario: a request during which the node raises an exception gets status 500
    Given an exception in the choice of an upstream
    When a caller sends a plain request
    Then the caller gets status 500
    And the answer states that the request may have run
    And no request is in progress
