Feature: The plan of the stages of one request
  # Guards against a request that ends in an OverflowError for the number of tokens it states.
  Scenario Outline: a request that states <prompt> prompt and <output> output tokens is planned
    Given a request with one stage, 6 s until its deadline and <prompt> prompt and <output> output tokens
    Then its stage is ordered with a deadline between now and 6 s

    Examples: any number that a caller may write
      | prompt | output |
      | 0      | 0      |
      | 1e5    | 200    |
      | 1e30   | 0      |
      | 0      | 1e30   |
      | 1e300  | 1e300  |

  # Guards against stage work for requests whose stream cannot end any more after it.
  Scenario Outline: with streams that take <stream> s at least, the stage has to end <before> s before the deadline
    Given a request with one stage, 6 s until its deadline and 0 prompt and 80 output tokens
    And a forecast of 0.3 s to the first event and <stream> s for the stream
    Then its stage is ordered with a deadline <before> s before its own

    Examples: 80 tokens take 0.5 s at an idle engine
      | stream | before |
      | 0      | 0.84   |
      | 0.2    | 0.84   |
      | 2      | 2.34   |

  # Guards against due times that a forecast moves: more orders then count as late, and fewer are on time.
  Scenario: a forecast changes the deadline of a stage, but not the time at which it is due
    Given a request with one stage, 6 s until its deadline and 0 prompt and 80 output tokens
    And a forecast of 0.3 s to the first event and 2 s for the stream
    Then its stage is due 0.04 s before the end of its target latency of 2 s

  # Guards against stages that end just in time for an engine without other requests.
  Scenario Outline: with a usual time of <usual> s to the first byte, the stage is due <before> s before the target latency
    Given a request with one stage, 6 s until its deadline and <prompt> prompt and 80 output tokens
    And a usual time of <usual> s to the first byte
    Then its stage is due <before> s before the end of its target latency of 2 s

    Examples: an idle engine processes 38400 prompt tokens in a second
      | usual | prompt | before |
      | 0     | 3840   | 0.14   |
      | 0.05  | 3840   | 0.14   |
      | 0.3   | 3840   | 0.34   |

  # Guards against a kind with a short target and many stages that is late on arrival: it then waits for the end of any overload.
  Scenario Outline: with a target latency of <target> s, the first of three stages is due <due> s after the arrival
    Given a request with one stage, 15 s until its deadline and 0 prompt and 80 output tokens
    And 3 stages, each of which reads the one before, and a target latency of <target> s
    Then its first stage is due <due> s after its arrival

    Examples: a call takes 0.22 s, one of four pieces 0.28 s, a hop 0.04 s; usually a stage waits for 0.224 s
      | target | due   |
      | 2      | 0.992 |
      | 1.5    | 0.492 |
      | 1.4    | 0.453 |
      | 1.1    | 0.353 |
      | 0.82   | 0.26  |
      | 0.5    | -0.06 |
