Feature: orders of operators under versions of their own
  Two operators edit version 5 at once and both call theirs version 7. Were
  both accepted, each would believe its routes in force. A zone that one of
  them evacuated must stay evacuated through any edit of the tables.

  Scenario: of two edits on one version the second is refused
    Given ordered tables at version 5
    When an order puts version 7 on base 5 with route "ana"
    And an order puts version 7 on base 5 with route "bea"
    Then the last order is refused as a conflict with version 7
    And the ordered route is "ana"

  Scenario Outline: a version that is not above the one in force is invalid
    Given ordered tables at version 5
    When an order puts version <version> on base 5 with route "ana"
    Then the last order is refused as invalid

    Examples:
      | version |
      | 5       |
      | 4       |

  Scenario: an evacuation outlives edits and ends only by its own order
    Given ordered tables at version 5
    When an order evacuates "dar-1"
    And an order puts version 6 on base 5 with route "ana"
    Then "dar-1" is evacuated by order
    When an order evacuates "dar-1"
    And an order ends the evacuation of "dar-1"
    Then nothing is evacuated by order
