Feature: What an exchange with an upstream holds is freed with it

  # Guards against bodies of requests that live on until the garbage collector comes by (review case 7): with uploads in a burst, a
  # node exceeded its memory.
  Scenario Outline: what observes the interim responses of an exchange that <end> is freed without the garbage collector
    When an exchange <end> while the garbage collector is off
    Then its observer has been freed

    Examples:
      | end                  |
      | gets a whole answer  |
      | gets no valid answer |
