Feature: a read that queries the accepted ballots of the other members
  Two concurrent edits of one version were both answered as accepted, and one of
  them was lost. A member that was running a read counted answers about two
  ballots as one majority, and reported a revision that was never chosen.

  Scenario: answers about two different ballots are not counted together
    Given a read at one of 5 members that has accepted revision 4
    When 1 other member answers that it has accepted revision 4
    And the member accepts a proposed revision 5
    And 1 other member answers that it has accepted the proposed revision 5
    Then the reading member does not treat revision 5 as chosen

  Scenario: a majority with the same ballot completes the read
    Given a read at one of 5 members that has accepted revision 4
    When 2 other members answer that they have accepted revision 4
    Then the read of the member returns revision 4
