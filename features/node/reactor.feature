Feature: Handling of events and effects in a node
  A failed effect, or a message type without a handler, must not stop the rest of a node.

  Scenario Outline: later effects are carried out after an effect with <fault>
    Given a node reactor whose core returns an effect with <fault> and a valid effect
    When the node reactor receives 2 events
    Then the node reactor has carried out 2 valid effects and counts 2 failures

    Examples:
      | fault               |
      | no handler          |
      | a failing handler   |

  Scenario: an exception in a core does not stop the reactor
    Given a node reactor whose core fails on the first event
    When the node reactor receives 2 events
    Then the node reactor has carried out 1 valid effects and counts 1 failures

  Scenario Outline: all messages of <component> can be encoded and have a handler
    Guards against a message type that is added without being registered: nodes could not join.

    Given a running node with all components
    Then the node has a codec and a handler for every message of <component>

    Examples:
      | component  |
      | membership |
      | limits     |
      | orders     |
      | releases   |

  Scenario: reading the status does not change what is reported to the owners of limits
    Guards against status calls that mark demand as reported: busy nodes got no permits.

    Given a running node with all components
    When the node's status is read before its demand is reported
    Then the node still reports the demand to the owner of the limit
