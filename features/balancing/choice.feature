Feature: Choice of an upstream for a pass-through request
  The balancer chooses the upstream with the least expected time until the first byte. It avoids
  failing, slow and busy upstreams, and prefers engines that have the shared parts of a prompt
  cached.

  Scenario Outline: upstream u1 of 4 <condition> gets <low> to <high> of 400 requests
    Given a balancer over 4 upstreams with 6 slots each
    And the balancer's upstream u1 <condition>
    When the balancer places 400 requests of 50 ms, one every 10 ms
    Then the balancer sent <low> to <high> requests to u1

    Examples: an equal share is 100 requests
      | condition                     | low | high |
      | is like the others            | 70  | 130  |
      | refuses connections           | 1   | 20   |
      | answers 5 times slower        | 1   | 50   |
      | fails 45 of 100 by itself     | 1   | 60   |
      | fails 5 of 100 by itself      | 60  | 140  |

  Scenario Outline: with <failing> of 4 upstreams failing, at least <least> stay in use
    Given a balancer over 4 upstreams with 6 slots each
    When the balancer sees <failing> upstreams refuse a connection
    Then the balancer uses at least <least> upstreams

    Examples: half of the upstreams stay in use, however many fail
      | failing | least |
      | 1       | 3     |
      | 2       | 2     |
      | 4       | 2     |

  Scenario: one probe request tests an ejected upstream before it returns
    Given a balancer over 4 upstreams with 6 slots each
    When the balancer sees 1 upstreams refuse a connection
    And the balancer's clock advances by 1.1 s
    And the balancer records the start of a request at u1
    Then the balancer suspects u1
    When the balancer records a success of u1
    Then the balancer does not suspect u1

  # Guards against an upstream that is never used again because its probe showed nothing.
  Scenario: an ejected upstream is probed again after a probe that ends without an outcome
    A caller that leaves says nothing about the upstream.

    Given a balancer over 4 upstreams with 6 slots each
    When the balancer sees 1 upstreams refuse a connection
    And the balancer's clock advances by 1.1 s
    And the balancer records the start of a request at u1
    Then the balancer suspects u1
    When the balancer records that the probe ends without an outcome
    Then the balancer does not suspect u1

  Scenario: an upstream that two peers report as failing is avoided until a request succeeds
    Given a balancer over 4 upstreams with 6 slots each
    When the balancer receives reports of 2 peers that u1 fails
    Then the balancer suspects u1
    When the balancer records a success of u1
    Then the balancer does not suspect u1

  Scenario Outline: a session with <tokens> tokens waiting at its home goes <where>
    Given a balancer over 6 engines with 64 slots each
    When the balancer counts <tokens> prompt tokens waiting at the home of session s
    Then the balancer sends a prompt of session s <where>

    Examples: reading the 6300 shared tokens again takes 164 ms, which counts twice
      | tokens | where     |
      | 0      | home      |
      | 4000   | home      |
      | 40000  | elsewhere |

  Scenario: prompt tokens that wait at an upstream for other nodes' requests count
    Given a balancer over 2 engines with 64 slots each
    When the balancer receives reports of 1 peers with 40000 tokens waiting at u1
    Then the balancer sends none of 50 new sessions to u1

  Scenario Outline: a request with <shared> shared tokens and <size> MB of inputs in z2 goes <where>
    Given a balancer over 6 engines with 64 slots each
    And every second engine is in z2
    When the balancer places a request with <shared> shared tokens and <size> MB of inputs in z2
    Then the balancer sends it <where>, and prefers its home to the inputs' zone: <home>

    Examples: moving a megabyte between zones costs as much as reading 320 tokens again
      | shared | size | where   | home |
      | 170    | 3    | into z2 | no   |
      | 6300   | 1.5  | home    | yes  |
      | 6300   | 60   | into z2 | no   |
