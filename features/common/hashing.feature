Feature: Rendezvous hashing
  Guards against items of unchanged members that move to another owner when a member is removed.

  Scenario Outline: removing one of <members> members moves only that member's items
    When hashing assigns 500 items to <members> members and again without one of them
    Then hashing moved exactly the items of the removed member

    Examples:
      | members |
      | 2       |
      | 7       |
      | 50      |
