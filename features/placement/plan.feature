Feature: Placement plan
  The planned changes must follow the demand. They must neither remove a model in use from its
  last engine nor be made for a small gain.

  Scenario Outline: <case>
    Given placement with engines <engines> and demand <demands>
    Then placement plans "<plan>"

    Examples: ENGINE=MODELS+ADAPTERS/MODEL_SLOTS/ROLE, MODEL+ADAPTER/ROLE:ENGINE_SECONDS_PER_SECOND
      | case                              | engines                     | demands          | plan                   |
      | demand is served                  | e0=a e1=b                   | a:0.5 b:0.5      | nothing                |
      | an idle engine takes the model    | e0=a e1=b e2=b              | a:1.8 b:0.3      | e1 load a for b        |
      | a free slot is used first         | e0=a e1=b/2 e2=b            | a:1.8 b:0.9      | e1 load a              |
      | the last holder is kept           | e0=a e1=b                   | a:1.9 b:0.0      | nothing                |
      | an unused model is replaced       | e0=a e1=b                   | a:1.9            | e1 load a for b        |
      | loading takes too long            | e0=a e1=a                   | a:0.1 huge:0.9   | nothing                |
      | too little unmet work             | e0=a e1=b e2=b              | a:1.005 b:0.3    | nothing                |
      | the work lost outweighs the gain  | e0=a e1=b e2=b              | a:1.3 b:1.9      | nothing                |
      | an adapter is loaded              | e0=a e1=a                   | a+x:0.5          | e0 adapter x           |
      | the last adapter is kept          | e0=a+y                      | a+x:0.5 a+y:0.0  | nothing                |
      | a role changes without loading    | e0=a/1/prefill e1=a/1/prefill e2=a/1/decode | a/prefill:0.4 a/decode:1.8 | e1 role decode |
      | at most two changes at a time     | e0=a e1=b e2=b e3=b e4=b    | a:4.5 b:0.1      | e3 load a for b; e4 load a for b |

  Scenario Outline: repeated plans for <demands> settle and keep every model in use
    Given placement with engines <engines> and demand <demands>
    Then repeated placement plans settle and leave no model in use without an engine

    Examples:
      | engines                     | demands            |
      | e0=a e1=b e2=b e3=b         | a:3.9 b:0.2        |
      | e0=a e1=b e2=c e3=c e4=c    | a:2.5 b:1.5 c:0.0  |
      | e0=a,b/2 e1=c/2 e2=a/2      | a:1 b:1 c:1        |

  Scenario: each engine has exactly one owner
    Then placement gives every engine exactly one owner among 7 nodes
