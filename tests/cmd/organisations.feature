Feature: what hyssopctl shows of organisations
  Operators see the use of each limit without the keys.

  Scenario: the use of a limit is summed over the entries
    Given entries that report 30, 12 and no requests of "press"
    When the limits are shown
    Then "press: 42 of 120 requests in 5 s" is shown
    And "limits coordinated by e2 (3 entries); the oldest answer is 0.4 s old" is shown

  Scenario: an entry that has no answer yet
    Given entries that report 30, 12 and no requests of "press"
    And one of the entries has no answer of the coordinator yet
    When the limits are shown
    Then "limits coordinated by e2 (3 entries); the oldest answer is still to come" is shown

  Scenario: entries of an earlier release, or without limits
    Given entries that report no limits
    When the limits are shown
    Then "no organisation has a limit" is shown

  Scenario Outline: keys are masked
    Then the key "<key>" is shown as "<shown>"

    Examples:
      | key                 | shown      |
      | pr-2f9c71d04b8e55aa | pr******** |
      | short               | ********   |
