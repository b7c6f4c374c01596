Feature: data folder
  An instance loses power while it writes a vote. If a half-written vote were
  read back, the instance could vote twice under one ballot and two revisions
  would be accepted under one number.

  Background:
    Given an empty data folder

  Scenario: what was written is read back
    When the record "vote" is written as "one" and then as "two"
    Then the record "vote" is "two"

  Scenario: a torn write under way leaves the old record
    Given the record "vote" holds "one"
    When a crash leaves half of a new record "vote"
    Then the record "vote" is "one"

  Scenario Outline: a record with a flipped byte at <place> is named, not read
    Given the record "vote" holds "one"
    When byte <place> of the record "vote" flips
    Then reading the record "vote" says that it is corrupt

    Examples:
      | place |
      | 0     |
      | 7     |
      | 9     |
      | 13    |

  Scenario: two processes cannot share a folder
    Then a second opening is refused
