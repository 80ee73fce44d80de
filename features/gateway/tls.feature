Feature: TLS listener for callers
  A certificate that is replaced on disk must take effect without a restart.

  Scenario Outline: a caller that trusts the <trusted> certificate gets <result>
    Given a gateway with TLS and the first certificate
    When the certificate of the gateway is <change>
    Then a caller of the gateway that trusts the <trusted> certificate gets <result>

    Examples:
      | change   | trusted | result      |
      | kept     | first   | an answer   |
      | kept     | second  | a TLS error |
      | replaced | second  | an answer   |
      | replaced | first   | a TLS error |

  Scenario: plain HTTP to the TLS listener is refused
    The server library closes the connection without reading the request, so its plain response
    with status 400 may be lost.

    Given a gateway with TLS and the first certificate
    When the gateway receives a plain request on its TLS listener
    Then the gateway has not run the request
    And a caller of the gateway that trusts the first certificate gets an answer
