Feature: differences between revisions
  An operator changes one row of hundreds; each entry receives only that row.
  If the difference were put on another value than it was made from, entries
  would route by tables that nobody accepted, so a digest of the whole decides.

  Scenario: any two values, in any order of rows
    When distribution differences between random values are applied
    Then each distribution result had exactly the bytes of the new value

  Scenario: one row of four hundred
    Given a distribution history of 2 revisions with 400 rows
    When a distribution follower at revision 1 is answered
    Then the distribution answer takes less than 200 bytes

  Scenario: five hundred changes missed
    Given a distribution history of 501 revisions with 40 rows
    When a distribution follower at revision 1 is answered
    Then the distribution answer alone gives the bytes of revision 501

  Scenario: a value that no longer is what the history has
    Given a distribution history of 2 revisions with 40 rows
    When a distribution follower with another value at revision 1 is answered
    Then the distribution answer is the whole value

  Scenario: bytes that are no difference
    When distribution differences of random bytes are applied
    Then each was refused as a distribution mismatch or gave some value
