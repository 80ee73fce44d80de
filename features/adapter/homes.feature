Feature: Homes of routes and organisations
  A route or an organisation may have homes: the regions in which its requests may be served. Both
  bind. Requests that cannot be served there are refused and have not been run.

  Background:
    Given a serving node in zone z1 of region r1, with zone z2 in region r2

  Scenario Outline: of requests whose route has <route> and organisation <organisation>, <result>
    Given upstreams of plain in zones <zones>
    And a configuration whose routes have <route> and whose organisation has <organisation>
    When a caller sends 12 plain requests
    Then <result>

    Examples: both homes bind
      | route       | organisation | zones  | result                                   |
      | no homes    | no homes     | z1, z2 | only upstreams in z1, z2 answer     |
      | homes r1    | no homes     | z1, z2 | only upstreams in z1 answer         |
      | homes r2    | no homes     | z1, z2 | only upstreams in z2 answer         |
      | no homes    | homes r2     | z1, z2 | only upstreams in z2 answer         |
      | homes r1 r2 | homes r2     | z1, z2 | only upstreams in z2 answer         |
      | homes r1 r2 | no homes     | z1, z2 | only upstreams in z1, z2 answer     |

    Examples: refused as not run
      | route       | organisation | zones  | result                                   |
      | homes r2    | no homes     | z1, z1 | all are refused with 503 and code 1410   |
      | no homes    | homes r2     | z1, z1 | all are refused with 503 and code 1410   |
      | homes r1    | homes r2     | z1, z2 | all are refused with 503 and code 1410   |
      | homes r9    | no homes     | z1, z2 | all are refused with 503 and code 1410   |

    Examples: a zone in no known region is in no home
      | route       | organisation | zones  | result                                   |
      | homes r1    | no homes     | z1, z7 | only upstreams in z1 answer         |
      | homes r1    | no homes     | z7, z7 | all are refused with 503 and code 1410   |
      | no homes    | no homes     | z7, z7 | only upstreams in z7 answer         |

  # Guards against a second attempt outside the homes when the first has failed.
  Scenario: a look-up whose only upstream at home fails is not tried elsewhere
    Given upstreams of plain in zones z1, z2
    And a configuration whose routes have homes r1 and whose organisation has no homes
    When the upstream in z1 fails, and a caller sends a look-up
    Then the upstream in z2 has got no request

  Scenario Outline: a request with stages and homes <homes> whose stages have upstreams in <zones> <result>
    Given upstreams of first in zones <zones>
    And a configuration whose routes have <homes> and whose organisation has no homes
    When a caller sends a staged stream
    Then <result>

    Examples: a stage queue may send a piece to any upstream of its service
      | homes       | zones  | result                                 |
      | homes r1    | z1, z1 | the stream is answered                         |
      | homes r1    | z1, z2 | all are refused with 503 and code 1410 |
      | homes r1 r2 | z1, z2 | the stream is answered                         |
      | no homes    | z1, z2 | the stream is answered                         |

  Scenario Outline: homes that cannot be served are logged: <route>, <organisation>
    Given a configuration whose routes have <route> and whose organisation has <organisation>
    Then the finding about homes is <finding>

    Examples:
      | route    | organisation | finding                                      |
      | homes r9 | no homes     | route order: unknown regions: r9             |
      | homes r1 | homes r8     | organisation bozi: unknown regions: r8       |
      | homes r1 | homes r2     | route order: no region in common with bozi   |
      | homes r1 | homes r1     | nothing                                      |

  Scenario Outline: a caller in <region> that looks up a host with <homes> is named nodes in <named>
    Given peers in zones z1, z2, z3
    And a configuration whose routes have <homes> and whose organisation has no homes
    When a caller in <region> looks up the host
    Then it is named nodes in <named>

    Examples: the node that answers is in z1, z3 is in region r3
      | homes       | region       | named                  |
      | no homes    | region r1    | z1, z1, z2, z3         |
      | homes r1    | region r1    | z1, z1                 |
      | homes r2    | region r1    | z1, z1, z2             |
      | homes r2    | region r3    | z2, z3                 |
      | homes r2    | zone z3      | z2, z3                 |
      | homes r2 r3 | region r2    | z2, z3                 |
      | homes r9    | region r9    | z1, z1, z2, z3         |
