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

  Scenario: a member that is cut off accepts nothing
    When "control-3" is cut off
    And "control-3" gets edit "ana" of revision 0
    And 10 s pass
    Then edit "ana" is certain never to take effect

  Scenario: a resent edit gets its first answer again, also elsewhere
    When "control-1" gets edit "ana" of revision 0
    And 1 s pass
    And "control-1" is restarted
    And "control-2" gets edit "ana" of revision 0
    And 1 s pass
    Then edit "ana" is accepted as revision 1

  Scenario: an accepted edit survives the restart of all
    When "control-1" gets edit "ana" of revision 0
    And 1 s pass
    And "control-1" is restarted
    And "control-2" is restarted
    And "control-3" is restarted
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
