Feature: Telemetry
  Telemetry records decisions and measurements for operators and callers in bounded memory.

  Scenario Outline: <organisations> organisations appear under at most <labels> labels
    Without a limit on labels, /metrics would grow with the number of organisations.
    When telemetry records one request of each of <organisations> organisations with own labels for at most <max_labelled>
    Then telemetry exports <labels> organisation labels and <requests> requests in all

    Examples:
      | organisations | max_labelled | labels | requests |
      | 5             | 200          | 5      | 5        |
      | 200           | 200          | 200    | 200      |
      | 700           | 200          | 201    | 700      |
      | 30            | 3            | 4      | 30       |

  Scenario: an organisation whose traffic grows gets its own label
    If only the first organisations got labels, the largest could stay under "other" for ever.
    When 3 early organisations and then one with most of the traffic are ranked
    Then the largest organisation is labelled with its own name
    And the removal of 1 early organisation is reported

  Scenario Outline: attainment of <organisation> at <target> is <answered> of <requests>
    Late, refused and failed requests must lower the attainment.
    When telemetry records these outcomes
      | organisation | target  | outcomes                                |
      | tea          | answers | answered answered late refused          |
      | tea          | orders  | answered unknown                        |
      | ink          | answers | answered failed answered answered       |
    Then the recorded attainment of <organisation> at <target> is <answered> of <requests>

    Examples:
      | organisation | target  | answered | requests |
      | tea          | answers | 2        | 4        |
      | tea          | all     | 3        | 6        |
      | ink          | answers | 3        | 4        |
      | all          | answers | 5        | 8        |
      | all          | all     | 6        | 10       |

  Scenario Outline: <reader> reads the explanation of a request of <owner>: <result>
    An explanation names upstreams and times, so another organisation must not read it.
    Given telemetry has recorded the decisions "queued, dispatched" about request r-1 of <owner>
    And telemetry has recorded the decisions "refused" about request r-1 of another organisation
    When the explanation of request r-1 is read by <reader>
    Then the explanation read is <result>

    Examples:
      | owner | reader   | result             |
      | tea   | tea      | queued, dispatched |
      | tea   | ink      | nothing            |
      | tea   | operator | queued, dispatched |

  Scenario: explanations keep the newest requests and count dropped decisions
    Without a limit, a long-running node would run out of memory.
    When 40 decisions about each of 10 requests are stored with room for 4 requests and 8 decisions
    Then requests 6 to 9 are stored with 8 decisions and 32 dropped

  Scenario: an automatic action is logged, counted and listed as recent
    Operators could not explain an automatic action that was not recorded.
    When telemetry records that routing ejected engine-1
    Then telemetry has one log line, one count and one recent action for the ejection

  Scenario: concurrent recording loses no counts
    A race in the cache of child metrics or in the ranking would lose or duplicate counts.
    When telemetry records 2000 requests from each of 4 threads
    Then the recorded attainment of all at all is 8000 of 8000
    And telemetry exports 7 organisation labels and 8000 requests in all

  Scenario: an error in a metric does not fail the request
    An exception must not leave telemetry, which is called while a request is served.
    When telemetry is given a duration of the wrong type
    Then telemetry logs the failed measurement and raises nothing

  Scenario Outline: a log line of <part> begins with its prefix
    A % sign in the prefix must not be read as part of the message's format.
    When the logger of part <part> logs "joined epoch %d" with 7
    Then the captured log line is "<part>: joined epoch 7"

    Examples:
      | part       |
      | membership |
      | 100%       |
