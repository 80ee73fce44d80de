Feature: Responses of the store's watch that no client expects
  Guards against a watch that ends by an exception which its users do not know, or without telling them.

  Scenario Outline: a watch response with <fault> is an outage of the service
    When the etcd client reads a watch response with <fault>
    Then the watch ends as unavailable

    Examples:
      | fault                          |
      | 200,000 nested lists           |
      | 200,000 nested objects         |
      | a revision of 5,000 digits     |
      | an event that is a number      |
      | a value that is not base64     |
      | bytes that are not UTF-8       |

  Scenario Outline: a watch whose response breaks with <error> reconnects
    When the etcd client reads a watch response that breaks with <error>
    Then it opens the watch again

    Examples:
      | error          |
      | OSError        |
      | MemoryError    |
      | RuntimeError   |
