Feature: Answers that their callers have not read yet
  What a caller does not take is kept, and a thread sends it. The writer itself, with a connection
  that never leaves this process.

  # Guards against the loss of the last part of an answer, after which its caller waits in vain.
  Scenario: a part that is kept just when the thread has sent everything is sent too
    Given an answer whose first part is kept
    When the last part is kept just when the thread finds nothing left to send
    Then the caller gets both parts

  # Guards against a thread that sends to the descriptor of a closed connection, which may be another's.
  Scenario: an answer that ends while its thread waits for the caller leaves no thread behind
    Given an answer whose caller reads nothing
    When the answer ends without a wait for its caller
    Then no thread sends to the connection any more
    And the answer holds no bytes
