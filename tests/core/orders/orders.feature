Feature: orders of operators, who choose the versions
  Guards against accepting two concurrent edits of one version under the same
  new version: each operator would assume its own routes in force. A failure
  domain that was evacuated must stay evacuated through any edit of the tables.

  Scenario: the second of two edits based on one version is refused
    Given replicated tables at version 5
    When an order sets version 7 based on 5 with route "ana"
    And an order sets version 7 based on 5 with route "bea"
    Then the last order is refused as a conflict with version 7
    And the route in force is "ana"

  Scenario Outline: a version that is not above the one in force is invalid
    Given replicated tables at version 5
    When an order sets version <version> based on 5 with route "ana"
    Then the last order is refused as invalid

    Examples:
      | version |
      | 5       |
      | 4       |

  Scenario: an evacuation persists through edits and ends only by its own order
    Given replicated tables at version 5
    When an order evacuates "dar-1"
    And an order sets version 6 based on 5 with route "ana"
    Then "dar-1" is evacuated in the state
    When an order evacuates "dar-1"
    And an order ends the evacuation of "dar-1"
    Then nothing is evacuated in the state
