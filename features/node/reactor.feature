Feature: Events and effects of a node
  One failed effect, or a message that nothing handles, must not stop the rest of a node.

  Scenario Outline: <fault> does not keep later effects from being carried out
    Given a node reactor whose core returns an effect with <fault> and a good one
    When node reactor gets 2 events
    Then node reactor has carried out 2 good effects and counts 2 failures

    Examples:
      | fault               |
      | no handler          |
      | a failing handler   |

  Scenario: a failing core does not stop the reactor
    Given a node reactor whose core fails on the first event
    When node reactor gets 2 events
    Then node reactor has carried out 1 good effects and counts 1 failures

  Scenario Outline: all messages of <part> can be encoded and have a handler
    A message type that was added to a slice but not registered kept nodes from joining.

    Given a node with all slices connected
    Then node codec and routes know every message of <part>

    Examples:
      | part       |
      | membership |
      | limits     |
      | orders     |
      | releases   |

  Scenario: reading the status does not change what is reported to owners
    Status calls that marked demand as reported kept permits from busy nodes.

    Given a node with all slices connected
    When node status is read while demand waits to be reported
    Then node still reports the demand to the owner
