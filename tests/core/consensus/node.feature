Feature: replicated register
  Two operators edit the same revision at the same moment through two control
  instances. If both were told "accepted", one of their edits would be lost
  without a word. Exactly one wins, and the other is told who did.

  Background:
    Given 3 members with seed 1

  Scenario: operators race with edits of one revision
    When "control-1" gets edit "ana" of revision 0
    And "control-2" gets edit "bea" of revision 0
    And 8 s pass
    Then exactly one of "ana" and "bea" is accepted, the other told who won

  Scenario: a late loser is told who took the revision, not who came last
    When "control-1" gets edit "ana" of revision 0
    And 1 s pass
    And "control-1" gets edit "cleo" of revision 1
    And 1 s pass
    And "control-2" gets edit "bea" of revision 0
    And 1 s pass
    Then edit "bea" lost revision 2 to "ana"

  Scenario: a member that is cut off accepts nothing
    When "control-3" is cut off
    And "control-3" gets edit "ana" of revision 0
    And 10 s pass
    Then edit "ana" is certain never to take effect

  Scenario: a member known to be cut off refuses at once
    When "control-3" is cut off
    And 8 s pass
    And "control-3" gets edit "ana" of revision 0
    And 2 s pass
    Then edit "ana" is certain never to take effect

  Scenario: an edit cut off between its two phases is unknown, then settled
    When "control-1" gets edit "ana" of revision 0
    And messages from "control-2" to "control-1" are lost
    And messages from "control-3" to "control-1" are lost
    And 10 s pass
    Then edit "ana" is certain never to take effect
    When all cuts end
    And "control-2" gets edit "ana" of revision 0
    And 2 s pass
    Then edit "ana" is accepted as revision 1

  Scenario: a resent edit gets its first answer again, also elsewhere
    When "control-1" gets edit "ana" of revision 0
    And 1 s pass
    And "control-1" is restarted
    And "control-2" gets edit "ana" of revision 0
    And 1 s pass
    Then edit "ana" is accepted as revision 1

  Scenario: another edit under a used change id is refused
    When "control-1" gets edit "ana" of revision 0
    And 1 s pass
    And "control-2" gets edit "ana" of revision 1 saying "another text"
    And 1 s pass
    Then edit "ana" is refused, its id being that of revision 1

  Scenario: an accepted edit survives the restart of all
    When "control-1" gets edit "ana" of revision 0
    And 1 s pass
    And "control-1" is restarted
    And "control-2" is restarted
    And "control-3" is restarted
    And 1 s pass
    And "control-3" gets a read
    And 1 s pass
    Then the read shows revision 1

  Scenario: a minority cannot pass off an old revision as new
    When "control-3" is cut off
    And "control-1" gets edit "ana" of revision 0
    And 1 s pass
    And "control-3" gets a read
    And 10 s pass
    Then the read is refused

  Scenario: a member that missed 500 changes catches up at once
    When "control-3" is killed
    And "control-1" gets 500 edits one after another
    And "control-3" is started
    And 1 s pass
    Then "control-3" holds revision 500

  Scenario: one cut off in silence for long learns all within seconds
    When "control-3" is cut off
    And "control-1" gets 20 edits one after another
    And 600 s pass
    And all cuts end
    And 3 s pass
    Then all agree on revision 20

  Scenario: a one-way cut stops neither the others nor the edit
    When messages from "control-1" to "control-2" are lost
    And messages from "control-3" to "control-1" are lost
    And "control-3" gets edit "ana" of revision 0
    And 8 s pass
    Then edit "ana" is accepted as revision 1

  Scenario: a member frozen for minutes does not hold the others up
    When "control-2" freezes
    And "control-1" gets edit "ana" of revision 0
    And 300 s pass
    Then edit "ana" is accepted as revision 1
    When "control-2" thaws
    And 3 s pass
    Then all agree on revision 1

  Scenario: a proposer frozen between its phases accepts nothing late
    When "control-2" gets edit "ana" of revision 0
    And "control-2" freezes
    And "control-1" gets edit "bea" of revision 0
    And 300 s pass
    And "control-2" thaws
    And 10 s pass
    Then edit "ana" is certain never to take effect
    And edit "bea" is accepted as revision 1
    And all agree on revision 1

  Scenario: a full disk stops a member's votes, not the cluster
    When the disk of "control-2" is full
    And "control-1" gets edit "ana" of revision 0
    And 2 s pass
    Then edit "ana" is accepted as revision 1
    And "control-2" does not vote: "its disk refuses writes"
    When "control-2" gets edit "bea" of revision 1
    Then edit "bea" is certain never to take effect
    When the disk of "control-2" has room again
    And 3 s pass
    Then "control-2" votes
    And all agree on revision 1

  Scenario: with two full disks nothing is accepted
    When the disk of "control-2" is full
    And the disk of "control-3" is full
    And "control-1" gets edit "ana" of revision 0
    And 20 s pass
    Then edit "ana" is certain never to take effect

  Scenario: idle members write nothing and say little
    When 10 s pass
    Then 100 s of idling cost at most 400 messages and no save

  Scenario: a kill at every save of three edits loses nothing accepted
    When "control-1" edits 3 times and a kill strikes at every save
    Then no accepted edit is lost by any of at least 20 kills
