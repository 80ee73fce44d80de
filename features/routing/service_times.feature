Feature: Learned service times
  A prediction that is far too long makes the system refuse work that would end in time.

  Scenario Outline: a <prompt> token prompt is predicted after <count> similar requests
    Given routing times of <count> requests with 200 to 600 prompt tokens
    When routing predicts a prompt of <prompt> tokens and an output of <output>
    Then routing prediction is at most <factor> times the true time

    Examples:
      | count | prompt | output | factor |
      | 2     | 400    | 32     | 3.0    |
      | 3     | 3000   | 32     | 3.0    |
      | 5     | 3000   | 32     | 3.0    |
      | 20    | 3000   | 32     | 3.0    |
      | 50    | 400    | 32     | 1.5    |
