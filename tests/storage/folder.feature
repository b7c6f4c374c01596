Feature: data folder
  An instance loses power while it writes a vote. If a partly written vote were
  loaded, the instance could vote twice under one ballot, and two values would
  be accepted under one revision.

  Background:
    Given an empty data folder

  Scenario: a written record is read back
    When the record "vote" is written as "one" and then as "two"
    Then the record "vote" is "two"

  Scenario: an interrupted write leaves the old record
    Given the record "vote" holds "one"
    When a crash leaves a temporary file with half of the record "vote"
    Then the record "vote" is "one"

  Scenario Outline: a record with a flipped byte at <offset> is rejected
    Given the record "vote" holds "one"
    When byte <offset> of the record "vote" flips
    Then reading the record "vote" fails as corrupt

    Examples:
      | offset |
      | 0      |
      | 7      |
      | 9      |
      | 13     |

  Scenario: two processes cannot share a folder
    Then opening the folder a second time is refused
