Feature: Placement plan
  Engines must follow demand without losing the last holder of a model or moving for little.

  Scenario Outline: <case>
    Given placement of engines <engines> with demand <demands>
    Then placement plans "<plan>"

    Examples: engine=models+adapters/model slots/role, model+adapter/role:engine-seconds per second
      | case                              | engines                     | demands          | plan                   |
      | demand is served                  | e0=a e1=b                   | a:0.5 b:0.5      | nothing                |
      | an idle engine takes the model    | e0=a e1=b e2=b              | a:1.8 b:0.3      | e1 load a for b        |
      | a free slot is used first         | e0=a e1=b/2 e2=b            | a:1.8 b:0.9      | e1 load a              |
      | the last holder is kept           | e0=a e1=b                   | a:1.9 b:0.0      | nothing                |
      | an unused model gives way         | e0=a e1=b                   | a:1.9            | e1 load a for b        |
      | too large for the gain            | e0=a e1=a                   | a:0.1 huge:0.9   | nothing                |
      | too little unmet work             | e0=a e1=b e2=b              | a:1.005 b:0.3    | nothing                |
      | the work lost outweighs the gain  | e0=a e1=b e2=b              | a:1.3 b:1.9      | nothing                |
      | an adapter is loaded              | e0=a e1=a                   | a+x:0.5          | e0 adapter x           |
      | the last adapter is kept          | e0=a+y                      | a+x:0.5 a+y:0.0  | nothing                |
      | a role changes without a load     | e0=a/1/prefill e1=a/1/prefill e2=a/1/decode | a/prefill:0.4 a/decode:1.8 | e1 role decode |
      | at most two changes at a time     | e0=a e1=b e2=b e3=b e4=b    | a:4.5 b:0.1      | e3 load a for b; e4 load a for b |

  Scenario Outline: repeated plans for <demands> settle and keep every model in use
    Given placement of engines <engines> with demand <demands>
    Then placement applied until nothing changes keeps a holder of each model in use

    Examples:
      | engines                     | demands            |
      | e0=a e1=b e2=b e3=b         | a:3.9 b:0.2        |
      | e0=a e1=b e2=c e3=c e4=c    | a:2.5 b:1.5 c:0.0  |
      | e0=a,b/2 e1=c/2 e2=a/2      | a:1 b:1 c:1        |

  Scenario: each engine has one planner
    Then placement gives every engine one planner among 7 nodes
