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

  Scenario Outline: a change of the mix from <before> to <after> output tokens keeps estimates sane
    Extrapolation to short work predicted 0 s; every upstream then looked thousands of times too
    slow, and requests of normal size were refused with predictions of 153 s.

    Given routing times of a stage that served <before> output tokens 60 times
    When routing serves <after> output tokens 12 times
    Then routing estimate for 32 output tokens is at most 3.0 times the true time

    Examples:
      | before | after |
      | 32     | 3     |
      | 3      | 32    |
      | 3      | 3     |
