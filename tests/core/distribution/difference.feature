Feature: differences between revisions
  An operator changes one row of hundreds, and each entry receives only that
  row. If a difference were applied to another value than it was made from,
  entries would route by tables that were never accepted; a digest of the
  whole value guards against that.

  Scenario: random values with rows in any order
    When distribution differences between random values are applied
    Then each distribution result had exactly the bytes of the new value

  Scenario: one row of four hundred
    Given a distribution history of 2 revisions with 400 rows
    When a distribution follower at revision 1 is answered
    Then the distribution answer takes less than 200 bytes

  Scenario: five hundred missed changes
    Given a distribution history of 501 revisions with 40 rows
    When a distribution follower at revision 1 is answered
    Then the distribution answer alone gives the bytes of revision 501

  Scenario: a value other than that of the history
    Given a distribution history of 2 revisions with 40 rows
    When a distribution follower with another value at revision 1 is answered
    Then the distribution answer is the whole value

  Scenario: bytes that are no difference
    When distribution differences of random bytes are applied
    Then each was refused as a distribution mismatch or gave some value

  Scenario: a difference whose sections don't fit its shape
    When distribution differences with a wrong number of sections are applied
    Then each of them was refused as a distribution mismatch

  Scenario: large answers are compressed for those that accept it
    Given a distribution history of 2 revisions with 400 rows
    When a distribution follower without a revision is answered compressed
    Then the compressed distribution answer is shorter than the value
    And it gives the bytes of revision 2

  Scenario: compressed bytes that are invalid or decompress to too much
    When compressed distribution payloads of random bytes are decompressed
    And one of 100 MB of zeros is decompressed
    Then each was refused as a distribution mismatch or gave some value
