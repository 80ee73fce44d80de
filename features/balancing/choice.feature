Feature: Choice of an upstream for pass-through work
  Work must go where its answer begins soonest: not to a failing, slow or crowded upstream, and
  for prompts to where the shared parts were read before.

  Scenario Outline: upstream u1 of 4 <condition> gets <low> to <high> of 400 requests
    Given a balancer over 4 upstreams with 6 slots each
    And balancing upstream u1 <condition>
    When balancing 400 requests of 50 ms, one every 10 ms
    Then balancing sent <low> to <high> requests to u1

    Examples: an equal share is 100
      | condition                     | low | high |
      | is like the others            | 70  | 130  |
      | refuses connections           | 1   | 20   |
      | answers 5 times slower        | 1   | 50   |
      | fails 45 of 100 by itself     | 1   | 60   |
      | fails 5 of 100 by itself      | 60  | 140  |

  Scenario Outline: with <failing> of 4 upstreams failing <least> stay in use
    Given a balancer over 4 upstreams with 6 slots each
    When balancing fails for certain at <failing> upstreams
    Then balancing uses at least <least> upstreams

    Examples: half of them stay, whatever fails
      | failing | least |
      | 1       | 3     |
      | 2       | 2     |
      | 4       | 2     |

  Scenario: an ejected upstream is tried by one request before it returns
    Given a balancer over 4 upstreams with 6 slots each
    When balancing fails for certain at 1 upstreams
    And balancing waits 1.1 s
    And balancing starts one request at u1
    Then balancing suspects u1
    When balancing succeeds at u1
    Then balancing does not suspect u1

  Scenario: what two peers report is avoided without own evidence
    Given a balancer over 4 upstreams with 6 slots each
    When balancing hears from 2 nodes that u1 fails
    Then balancing suspects u1
    When balancing succeeds at u1
    Then balancing does not suspect u1

  Scenario Outline: a session stays at its home with <elsewhere> tokens waiting there
    Given a balancer over 6 engines with 64 slots each
    When balancing sees <elsewhere> prompt tokens waiting at the home of session s
    Then balancing a prompt of session s goes <where>

    Examples: 6300 shared tokens are read in 164 ms and count twice
      | elsewhere | where        |
      | 0         | home         |
      | 4000      | home         |
      | 40000     | another way  |

  Scenario: work that other nodes have in flight counts
    Given a balancer over 2 engines with 64 slots each
    When balancing hears from 1 nodes of 40000 tokens at u1
    Then balancing 50 new sessions avoids u1

  Scenario Outline: work with <shared> shared tokens and <size> MB of inputs in z2 goes <where>
    Given a balancer over 6 engines with 64 slots each
    And every second engine is in z2
    When balancing work with <shared> shared tokens and <size> MB of inputs in z2
    Then balancing sends it <where>, and wants its inputs there: <home>

    Examples: a megabyte between zones costs as much as 320 tokens that are read again
      | shared | size | where   | home |
      | 170    | 3    | into z2 | no   |
      | 6300   | 1.5  | home    | yes  |
      | 6300   | 60   | into z2 | no   |
