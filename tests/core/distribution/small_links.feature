Feature: large tables reach entries over small links
  An answer to a poll grows with the tables. If the link of an entry carries no
  whole answer before the poll times out, repeated polls fill the link and the
  memory of the control instances, and the entry refuses every caller.

  # Guards against: restarted entries never get large tables.
  Scenario: all entries of a fleet start again while the tables are large
    Given 6 control instances and 84 entries with links of 2 Mbit/s
    And tables of 1400 routes are in force at all of them
    When all entries on small links start again at once
    Then all entries on small links have the tables within 13 s
    And no control instance held more than 32 MB of answers

  # Guards against: a large edit keeps entries from all later ones.
  Scenario: a large edit reaches all entries
    Given 6 control instances and 24 entries with links of 2 Mbit/s
    When an edit adds 1400 routes
    Then all entries on small links have the tables within 13 s
    And no control instance held more than 32 MB of answers

  # Guards against: polls that time out for ever at tables of any size.
  Scenario: an entry starts with tables ten times as large
    Given 3 control instances and 2 entries with links of 2 Mbit/s
    And tables of 14000 routes are in force at all of them
    When all entries on small links start again at once
    Then all entries on small links have the tables within 60 s
