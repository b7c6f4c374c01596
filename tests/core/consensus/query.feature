Feature: a read that asks what the others hold
  Two operators edit one version at the same moment and both are told
  "accepted": one of their edits is lost. A member that read in the middle took
  answers about two ballots for a majority, and told of a revision that was
  never chosen.

  Scenario: answers from before and after a new ballot make no majority
    Given a member of 5 that holds revision 4 and reads
    When 1 other answers that it holds revision 4
    And the member accepts a proposed revision 5
    And 1 other answers that it holds the proposed revision 5
    Then the member takes revision 5 for chosen no more than the others do

  Scenario: a majority that holds one ballot is enough
    Given a member of 5 that holds revision 4 and reads
    When 2 others answer that they hold revision 4
    Then the member's read ends with revision 4
