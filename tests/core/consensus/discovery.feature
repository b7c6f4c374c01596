Feature: control instances that find each other from a few addresses
  Nobody tells an instance how many others there are or where. A machine is
  replaced by an empty one at another address; were the lost one counted for
  ever, the next loss would leave no majority and every edit would be refused.

  Scenario: five form from the addresses of three
    Given 5 discovering members of which 3 are seeds, with seed 1
    When discovery runs for 5 s
    Then all 5 discovered members vote

  Scenario: an edit is accepted within a second of the start
    Given 5 discovering members of which 3 are seeds, with seed 2
    When discovery runs for 1 s
    And discovered "control-4" or a seed gets edit "ana" of revision 0
    And discovery runs for 1 s
    Then the discovered edit "ana" is accepted

  Scenario: a lost one's place goes to a newcomer at another address
    Given 5 discovering members of which 3 are seeds, with seed 3
    When discovery runs for 5 s
    And discovered "control-2" is lost for good
    And discovery runs for 1 s
    And a discovering newcomer "control-6" starts
    And discovery runs for 4 s
    Then discovered "control-6" votes
    When discovery runs for 20 s
    Then discovered "control-2" votes no more
    When discovered "control-1" is lost for good
    And discovered "control-3" is lost for good
    And discovered "control-6" or a seed gets edit "ana" of revision 0
    And discovery runs for 5 s
    Then the discovered edit "ana" is accepted

  Scenario: a wiped disk comes back at its address and votes once caught up
    Given 5 discovering members of which 3 are seeds, with seed 4
    When discovery runs for 5 s
    And discovered "control-1" or a seed gets edit "ana" of revision 0
    And discovery runs for 1 s
    And discovered "control-5" comes back on a blank disk
    And discovery runs for 4 s
    Then all 5 discovered members vote

  Scenario: blank disks after the first start never form a second cluster
    Given 3 blank discovering members long after the first start
    When discovery runs for 60 s
    Then no discovered member holds anything

  Scenario: one that does not vote confirms what it holds, and decides nothing
    Servers announce themselves to any control instance. One that does not
    vote, if it could confirm nothing, would refuse its servers, and lose them.

    Given 7 discovering members of which 3 are seeds, with seed 5
    When discovery runs for 5 s
    Then 5 discovered members vote and 2 do not
    When a discovered member that does not vote is read
    And a discovered member that does not vote gets an edit
    And discovery runs for 1 s
    Then the discovered read is done and the edit is not accepted
    When both discovered members that do not vote are cut off and one is read
    And discovery runs for 9 s
    Then the last discovered read is not done

  Scenario: a member that was cut off for long takes a lost one's place again
    A network fault cuts a control instance off for ten seconds; the sixth
    takes its place. Once it is back another one is lost, and then two more.
    Were its vote gone for good, only four members would be left to bear the
    later losses, and every edit would be refused.

    Given 6 discovering members of which 3 are seeds, with seed 6
    When discovery runs for 5 s
    And a discovered voter is cut off for 12 s
    Then the discovered voter that was cut off votes no more
    When another discovered voter is lost for good
    And discovery runs for 20 s
    Then the discovered voter that was cut off votes again
    And 5 discovered members vote and 1 do not
    When another discovered voter is lost for good
    And another discovered voter is lost for good
    And the discovered voter that was cut off gets edit "ana" of revision 0
    And discovery runs for 5 s
    Then the discovered edit "ana" is accepted

  Scenario Outline: a lost region never holds a majority of the votes
    Nine control instances run in three regions and five of them vote. Had
    chance put three of the five into one region, its loss would leave no
    majority, and no edit would be accepted until the power is back.

    Given 9 discovering members of which 3 are seeds, with seed <seed>
    When discovery runs for 8 s
    Then 5 discovered members vote and 4 do not
    And no region holds more than 2 discovered votes
    When the region with most discovered votes is lost
    And a discovered voter that is left gets edit "ana" of revision 0
    And discovery runs for 5 s
    Then the discovered edit "ana" is accepted

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
      | 7    |
      | 8    |
