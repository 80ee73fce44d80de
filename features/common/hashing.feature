Feature: Rendezvous hashing
  Ownership must move only for the items of the member that joined or left.

  Scenario Outline: removing one of <members> members moves only that member's items
    When hashing owners of 500 items over <members> members are compared after one leaves
    Then hashing moved only items of the member that left

    Examples:
      | members |
      | 2       |
      | 7       |
      | 50      |
