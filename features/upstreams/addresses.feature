Feature: Addresses that other programs write
  An address that is none must not end the thread that uses it.

  # Guards against a request, a probe or a call of a stage that ends with an exception of the client.
  Scenario Outline: an exchange with the address <address> fails without being sent
    Then an exchange with the address <address> fails as one that takes no connections

    Examples:
      | address                   |
      | "10.1.64.7:²"             |
      | "10.1.64.7:0"             |
      | "10.1.64.7:99999"         |
      | "10.1.64.7:"              |
      | "10.1.64.7"               |
      | ""                        |
      | "a b:8080"                |
      | "a\u0000b:8080"           |
      | "a\nb:8080"               |
      | "a..b:8080"               |
      | "é.example:8080"          |
      | "[fd00::7:8080"           |
      | "[::1%]:8080"             |
      | "[::1%a b]:8080"          |

  Scenario: an exchange with any text that is no address fails without another exception
    Then an exchange with any text that is no address fails as one that takes no connections

  # Guards against a path that the HTTP client refuses, which ended the thread of the request.
  Scenario: a request whose target cannot be written fails with the exchange's own error
    Then an exchange whose target is "/a\u0000 b" raises nothing but its own error

  # Guards against an exception that ends the thread of a call to an upstream of a release.
  Scenario Outline: a call to the URL <url> of an upstream fails without being sent
    Then a call to the URL <url> of an upstream is not sent

    Examples:
      | url                       |
      | "http://a:99999"          |
      | "http://a:²"              |
      | "http://a b:8080"         |
      | "http://a\u0000b:8080"    |
      | "http://a\nb:8080"        |
      | "http://[::1"             |
      | "http://a..b:8080"        |
      | "http://"                 |
      | "ftp://a"                 |
      | ""                        |
