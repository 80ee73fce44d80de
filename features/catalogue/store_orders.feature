Feature: Drawn orders of what happens to the store and to what nodes know of it
  Two to seven nodes with their own directories, catalogues, change feeds and records of blocks learn the store's
  contents from listings in pages, watches, peers' states and relayed changes, late, lost and repeated, while the store
  returns from copies, some nodes are cut off from it and others start again.

  # Guards against knowledge that goes back (CONFIG, DRAIN, EVAC, LOST).
  Scenario: whatever the order, no node undoes what it knew, and all know in the end what the store holds
    When orders of answers, messages, cuts, starts and returns are drawn
    Then none of them breaks an invariant

  # Guards against a check that finds nothing.
  Scenario Outline: without <guard>, a drawn order breaks <invariant>
    When <orders> orders are drawn without <guard>
    Then one of them breaks <invariant>

    Examples:
      | guard                     | invariant | orders |
      | order by era              | DRAIN, END | 300   |
      | order of configurations   | END       | 300    |
      | outages that others had   | DRAIN     | 400    |
      | records of an era         | END       | 300    |
      | versions of configurations | CONFIG   | 300    |
      | evidence of one's own     | BLOCK     | 100    |
      | draining upstreams        | DRAIN     | 400    |
      | doubt of ended upstreams  | DRAIN     | 300    |
      | grace after a return      | DRAIN, LOST | 300  |
      | kept evacuations          | EVAC      | 600    |
