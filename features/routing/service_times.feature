Feature: Learned service times
  Guards against predictions that are far too long: they make the system refuse work that would end
  within its deadline.

  Scenario Outline: the time of a <prompt> token prompt is predicted after <count> requests
    Given routing has observed <count> requests with 200 to 600 prompt tokens
    When routing predicts a prompt of <prompt> tokens and an output of <output>
    Then routing prediction is at most <factor> times the true time

    Examples:
      | count | prompt | output | factor |
      | 2     | 400    | 32     | 3.0    |
      | 3     | 3000   | 32     | 3.0    |
      | 5     | 3000   | 32     | 3.0    |
      | 20    | 3000   | 32     | 3.0    |
      | 50    | 400    | 32     | 1.5    |

  Scenario Outline: estimates stay realistic after a change from <before> to <after> output tokens
    Guards against an extrapolation to 0 s for short work. Every upstream then appears to be
    thousands of times too slow, and requests of normal size are refused with predictions of 153 s.

    Given routing has observed 60 requests with <before> output tokens
    When routing observes 12 requests with <after> output tokens
    Then routing estimate for 32 output tokens is at most 3.0 times the true time

    Examples:
      | before | after |
      | 32     | 3     |
      | 3      | 32    |
      | 3      | 3     |
