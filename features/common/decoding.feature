Feature: Values that other programs write
  Every value is decoded or gives one error, in every thread.

  # Guards against a process that ends because a nested value exceeds the stack of a thread: with
  # 256 KB, a decoder of any JSON value ends the process from about 700 levels on.
  Scenario Outline: values nested <levels> levels end no process whose threads have small stacks
    When a process with the stack of serving nodes decodes values nested <levels> levels
    Then it ends by itself with one outcome for each value, none of which is unexpected

    Examples:
      | levels |
      | 60     |
      | 500    |
      | 900    |
      | 990    |
      | 3000   |
      | 30000  |
      | 200000 |

  # Guards against a decoder whose list of exceptions is not whole.
  Scenario Outline: a decoder that raises <error> gives the one error
    Then a decoder that raises <error> gives the one error

    Examples:
      | error          |
      | DecodeError    |
      | KeyError       |
      | IndexError     |
      | TypeError      |
      | ValueError     |
      | OverflowError  |
      | UnicodeError   |
      | RecursionError |
      | MemoryError    |
      | AttributeError |

  Scenario: the message of the one error is bounded, whatever the name and the value are
    Then the message of the one error is bounded, whatever the name and the value are

  Scenario: any JSON nests as deeply as the check says
    Then any JSON nests as deeply as the check says

  # Guards against input of upstreams, of the platform and of operators that ends a thread of a node.
  Scenario Outline: <input> that is nested <levels> levels gives the error of its reader
    Then <input> that is nested <levels> levels gives the error of its reader

    Examples:
      | input                     | levels |
      | the load of an upstream   | 2000   |
      | the load of an upstream   | 200000 |
      | a chunk of an engine      | 2000   |
      | a chunk of an engine      | 200000 |
      | an answer of the platform | 2000   |
      | an answer of the platform | 200000 |
      | an error of the platform  | 200000 |
      | a watch of the platform   | 200000 |
      | a release note            | 2000   |
      | a release note            | 200000 |
