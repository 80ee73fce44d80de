Feature: Sequence of the events of a stream
  A stream may be continued by another upstream after a failure. The caller must get each event
  once, in order, and nothing that is not an event of its stream.

  Scenario: the events of any faulty upstreams reach the caller once, in order and without a gap
    Then attempts that repeat, skip, reorder or invent events never disturb a stream

  Scenario: the events of sound upstreams are never held back
    Then a stream with ids of any steps passes whole
