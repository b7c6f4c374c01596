Feature: replicated register
  Two operators edit the same revision at the same time through two control
  instances. If both edits were answered as accepted, one of them would be lost
  silently. Exactly one edit must be accepted, and the answer to the other must
  name the accepted one.

  Background:
    Given 3 members with seed 1

  Scenario: two concurrent edits of one revision
    When "control-1" receives edit "ana" of revision 0
    And "control-2" receives edit "bea" of revision 0
    And 8 s pass
    Then exactly one of "ana" and "bea" is accepted, the other names the winner

  Scenario: a late conflict names the edit of that revision, not the newest
    When "control-1" receives edit "ana" of revision 0
    And 1 s pass
    And "control-1" receives edit "cleo" of revision 1
    And 1 s pass
    And "control-2" receives edit "bea" of revision 0
    And 1 s pass
    Then edit "bea" conflicts at revision 2 with "ana"

  Scenario: an isolated member accepts no edit
    When "control-3" is isolated
    And "control-3" receives edit "ana" of revision 0
    And 10 s pass
    Then edit "ana" is not accepted

  Scenario: a member that knows of no majority refuses an edit at once
    When "control-3" is isolated
    And 8 s pass
    And "control-3" receives edit "ana" of revision 0
    And 2 s pass
    Then edit "ana" is not accepted

  Scenario: an edit interrupted between its two phases is resent and accepted
    When "control-1" receives edit "ana" of revision 0
    And messages from "control-2" to "control-1" are lost
    And messages from "control-3" to "control-1" are lost
    And 10 s pass
    Then edit "ana" is not accepted
    When the network recovers
    And "control-2" receives edit "ana" of revision 0
    And 2 s pass
    Then edit "ana" is accepted as revision 1

  Scenario: a resent edit gets its first answer again, also from another member
    When "control-1" receives edit "ana" of revision 0
    And 1 s pass
    And "control-1" is restarted
    And "control-2" receives edit "ana" of revision 0
    And 1 s pass
    Then edit "ana" is accepted as revision 1

  Scenario: another edit under a used change id is refused
    When "control-1" receives edit "ana" of revision 0
    And 1 s pass
    And "control-2" receives edit "ana" of revision 1 saying "another text"
    And 1 s pass
    Then edit "ana" is refused, its id is used by revision 1

  Scenario: an accepted edit survives the restart of all members
    When "control-1" receives edit "ana" of revision 0
    And 1 s pass
    And "control-1" is restarted
    And "control-2" is restarted
    And "control-3" is restarted
    And 1 s pass
    And "control-3" receives a read
    And 1 s pass
    Then the read returns revision 1

  Scenario: a member without a majority does not answer a read
    When "control-3" is isolated
    And "control-1" receives edit "ana" of revision 0
    And 1 s pass
    And "control-3" receives a read
    And 10 s pass
    Then the read is refused

  Scenario: a member that missed 500 edits catches up at once
    When "control-3" is killed
    And "control-1" receives 500 edits one after another
    And "control-3" is started
    And 1 s pass
    Then "control-3" has learned revision 500

  Scenario: a member isolated for a long time catches up within seconds
    When "control-3" is isolated
    And "control-1" receives 20 edits one after another
    And 600 s pass
    And the network recovers
    And 3 s pass
    Then all instances agree on revision 20

  Scenario: a one-way partition does not prevent an edit
    When messages from "control-1" to "control-2" are lost
    And messages from "control-3" to "control-1" are lost
    And "control-3" receives edit "ana" of revision 0
    And 8 s pass
    Then edit "ana" is accepted as revision 1

  Scenario: a member frozen for minutes does not block the others
    When "control-2" freezes
    And "control-1" receives edit "ana" of revision 0
    And 300 s pass
    Then edit "ana" is accepted as revision 1
    When "control-2" resumes
    And 3 s pass
    Then all instances agree on revision 1

  Scenario: a proposer frozen between its phases loses to a later edit
    When "control-2" receives edit "ana" of revision 0
    And "control-2" freezes
    And "control-1" receives edit "bea" of revision 0
    And 300 s pass
    And "control-2" resumes
    And 10 s pass
    Then edit "ana" is not accepted
    And edit "bea" is accepted as revision 1
    And all instances agree on revision 1

  Scenario: a full disk stops the votes of one member only
    When the disk of "control-2" is full
    And "control-1" receives edit "ana" of revision 0
    And 2 s pass
    Then edit "ana" is accepted as revision 1
    And "control-2" does not vote: "its disk refuses writes"
    When "control-2" receives edit "bea" of revision 1
    Then edit "bea" is not accepted
    When the storage of "control-2" recovers
    And 3 s pass
    Then "control-2" votes
    And all instances agree on revision 1

  Scenario: with two full disks no edit is accepted
    When the disk of "control-2" is full
    And the disk of "control-3" is full
    And "control-1" receives edit "ana" of revision 0
    And 20 s pass
    Then edit "ana" is not accepted

  Scenario: idle members write nothing and send few messages
    When 10 s pass
    Then 100 s without operations cost at most 400 messages and no save

  Scenario: a kill at any save of three edits loses no accepted edit
    When "control-1" makes 3 edits, with a kill at each save in turn
    Then no accepted edit is lost in any of at least 20 kills
