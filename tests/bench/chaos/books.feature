Feature: books of the failure run
  A failure run that could not see a doubled payment would call a broken system
  good. Each fault that it looks for is put into the books, and must be found.

  Scenario Outline: <what>
    Given chaos books in which payment "p" was told <told>
    When the chaos ledgers hold payment "p" <times> times
    Then the chaos books show <faults> faults

    Examples:
      | what                   | told     | times | faults |
      | an honest answer       | answered | 1     | 0      |
      | an honest refusal      | not-run  | 0     | 0      |
      | an honest unknown, ran | unknown  | 1     | 0      |
      | a lost answer, not ran | lost     | 0     | 0      |
      | a doubled payment      | answered | 2     | 1      |
      | a false not-run        | not-run  | 1     | 1      |
      | an answer out of air   | answered | 0     | 1      |
      | doubled behind a loss  | lost     | 2     | 1      |

  Scenario: two edits accepted as one revision
    Given chaos books in which edits "a" and "b" were accepted as 4 and 4
    Then the chaos books show a fault of edits at final revision 4

  Scenario: an accepted edit that is gone
    Given chaos books in which edits "a" and "b" were accepted as 4 and 5
    Then the chaos books show a fault of edits at final revision 4
    And the chaos books show no fault of edits at final revision 5

  Scenario: a resent edit told another revision
    Given chaos books in which edits "a" and "a" were accepted as 4 and 5
    Then the chaos books show a fault of edits at final revision 5

  Scenario: the same seed gives the same schedule
    Then chaos schedules of seed 7 are alike, and unlike that of seed 8
    And the chaos schedule of seed 7 never takes two control instances at once

  # Guards against a run that calls entries good that never hold a request back.
  Scenario Outline: a request crashes 3 servers, and <more> more <when>
    Given chaos books in which a request crashed 3 servers at 1, 2 and 3 s
    And <more> more at <at> s through "entry-2"
    Then the chaos books show <faults> faults of crashes, "entry-1" killed at 20 s

    Examples:
      | when                  | more | at | faults |
      | as soon               | 9    | 6  | 0      |
      | as all know           | 3    | 8  | 0      |
      | more than are allowed | 4    | 8  | 1      |

  # Guards against findings by entries that could not know yet.
  Scenario: a disturbed entry crashes servers
    Given chaos books in which a request crashed 3 servers at 1, 2 and 3 s
    And 4 more at 24 s through "entry-1"
    Then the chaos books show 0 faults of crashes, "entry-1" killed at 20 s
    And the chaos books show 1 faults of crashes, "entry-1" killed at 12 s
