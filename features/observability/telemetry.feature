Feature: Telemetry
  Operators and callers see what was decided and measured, in bounded memory.

  Scenario Outline: <organisations> organisations appear under at most <labels> labels
    Unbounded labels would let /metrics grow with the number of organisations.
    When observability records one request of each of <organisations> organisations with room for <room>
    Then observability exports <labels> organisation labels and <requests> requests in all

    Examples:
      | organisations | room | labels | requests |
      | 5             | 200  | 5      | 5        |
      | 200           | 200  | 200    | 200      |
      | 700           | 200  | 201    | 700      |
      | 30            | 3    | 4      | 30       |

  Scenario: an organisation whose traffic grows gets its own label
    A ranking that only counts arrivals would leave the largest organisation under "other".
    When observability ranks 3 early organisations and then one with most of the traffic
    Then observability labels the largest organisation by its own name
    And observability reports the removal of 1 early organisation

  Scenario Outline: attainment of <organisation> at <target> is <answered> of <requests>
    Late, refused and failed requests must count against the share.
    When observability records these outcomes
      | organisation | target  | outcomes                                |
      | tea          | answers | answered answered late refused          |
      | tea          | orders  | answered unknown                        |
      | ink          | answers | answered failed answered answered       |
    Then observability attainment of <organisation> at <target> is <answered> of <requests>

    Examples:
      | organisation | target  | answered | requests |
      | tea          | answers | 2        | 4        |
      | tea          | all     | 3        | 6        |
      | ink          | answers | 3        | 4        |
      | all          | answers | 5        | 8        |
      | all          | all     | 6        | 10       |

  Scenario Outline: <reader> reads the explanation of a request of <owner>: <result>
    An explanation names upstreams and timing and must not reach another organisation.
    Given observability has decisions "queued, dispatched" for request r-1 of <owner>
    And observability has decisions "refused" for request r-1 of another organisation
    When observability request r-1 is read by <reader>
    Then observability shows <result>

    Examples:
      | owner | reader   | result             |
      | tea   | tea      | queued, dispatched |
      | tea   | ink      | nothing            |
      | tea   | operator | queued, dispatched |

  Scenario: explanations keep the newest requests and count what they drop
    Without a bound a long-running node would run out of memory.
    When observability records 40 decisions for each of 10 requests with room for 4 requests and 8 decisions
    Then observability keeps requests 6 to 9 with 8 decisions and 32 dropped

  Scenario: an automatic action is logged, counted and remembered
    An action that leaves no trace cannot be explained afterwards.
    When observability reports that routing ejected engine-1
    Then observability has one log line, one count and one recent action for it

  Scenario: threads record without losing counts
    A race in the cached children or in the ranking would lose or duplicate counts.
    When observability records 2000 requests from each of 4 threads
    Then observability attainment of all at all is 8000 of 8000
    And observability exports 7 organisation labels and 8000 requests in all

  Scenario: a fault in a metric does not fail the request
    When observability is given a duration of the wrong type
    Then observability logs the lost measurement and raises nothing

  Scenario Outline: a log line of <part> begins with its prefix
    When observability logs "joined epoch %d" with 7 for part <part>
    Then observability has the log line "<part>: joined epoch 7"

    Examples:
      | part       |
      | membership |
      | 100%       |
