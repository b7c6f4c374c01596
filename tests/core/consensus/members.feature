Feature: members of the replicated register
  A control instance loses its disk and restarts blank under the same name. If
  it voted at once, it could form a majority with a member that missed an edit
  and decide without that edit, so that an accepted edit would be lost. It votes
  only once it has caught up and a majority of the voters has admitted it.

  Scenario: blank instances form a cluster without an operator
    Given 3 blank instances with seed 1 that are not started
    When "control-3" is started
    And "control-2" is started
    And 30 s pass
    Then "control-2" stays blank and forms no cluster
    When "control-1" is started
    And 1 s pass
    Then all instances agree on revision 0

  Scenario: a blank instance among members with data forms no second cluster
    Given 3 members with seed 1
    When "control-1" receives edit "ana" of revision 0
    And 1 s pass
    And "control-2" is killed
    And "control-3" is killed
    And "control-1" restarts on a blank disk
    And 60 s pass
    Then "control-1" stays blank and forms no cluster
    When "control-2" is started
    And 60 s pass
    And "control-3" is started
    And 10 s pass
    Then "control-1" votes
    And all instances agree on revision 1

  Scenario: an instance on a blank disk is admitted without an operator
    Given 3 members with seed 2
    When "control-1" receives edit "ana" of revision 0
    And 1 s pass
    And "control-2" restarts on a blank disk
    And 5 s pass
    Then "control-2" votes
    And all instances agree on revision 1

  Scenario: a second disk is lost right after the first was replaced
    Given 3 members with seed 3
    When "control-3" is killed
    And "control-1" receives edit "ana" of revision 0
    And 1 s pass
    And "control-3" restarts on a blank disk
    And all instances vote again
    And "control-1" loses its disk and stays stopped
    And "control-2" receives edit "bea" of revision 1
    And 2 s pass
    Then edit "bea" is accepted as revision 2
    When "control-1" is started
    And 5 s pass
    Then all instances agree on revision 2

  Scenario: a second process is killed while the first disk is replaced
    Given 3 members with seed 4
    When "control-1" receives edit "ana" of revision 0
    And 1 s pass
    And "control-2" restarts on a blank disk
    And "control-3" is killed
    And 20 s pass
    And "control-1" receives edit "bea" of revision 1
    And 10 s pass
    Then edit "bea" is not accepted
    When "control-3" is started
    And 10 s pass
    And "control-1" receives edit "bea" of revision 1
    And 2 s pass
    Then edit "bea" is accepted as revision 2

  Scenario: an instance is added and another removed
    Given 3 members with seed 5
    When a new instance "control-4" starts blank
    And 5 s pass
    And "control-1" is asked to add the member "control-4"
    And 2 s pass
    Then the members are "control-1", "control-2", "control-3", "control-4"
    When "control-1" is asked to remove the member "control-1"
    And 2 s pass
    Then the members are "control-2", "control-3", "control-4"
    And "control-1" does not vote: "removed or replaced"
    When "control-4" receives edit "ana" of revision 0
    And 1 s pass
    Then edit "ana" is accepted as revision 1

  Scenario: an instance that sent no status is not added
    Given 3 members with seed 6
    When "control-1" is asked to add the member "control-9"
    And 2 s pass
    Then the change of members is refused: "has sent no recent status"

  Scenario: a removal that would leave no reachable majority is refused
    Given 3 members with seed 7
    When "control-3" is killed
    And 10 s pass
    And "control-1" is asked to remove the member "control-2"
    And 2 s pass
    Then the change of members is refused: "no majority of the remaining"

  Scenario: an instance on an older copy of its data folder does not vote
    Given 3 members with seed 8
    When "control-3" is restarted
    And 3 s pass
    And a copy of the data folder of "control-3" is taken
    And "control-3" is restarted
    And 3 s pass
    And "control-3" is started with the copy
    And 3 s pass
    Then "control-3" does not vote: "older copy"

  Scenario: a copy taken during the last run lacks a vote that others observed
    Given 3 members with seed 9
    When a copy of the data folder of "control-3" is taken
    And "control-1" receives edit "ana" of revision 0
    And 3 s pass
    And "control-3" is started with the copy
    And 3 s pass
    Then "control-3" does not vote: "older copy"
    When "control-3" restarts on a blank disk
    And 5 s pass
    Then "control-3" votes
    And all instances agree on revision 1

  Scenario: the steps of a replacement conform to the specification
    Given 3 members with seed 10 on a network that loses a tenth
    When "control-1" receives edit "ana" of revision 0
    And "control-2" restarts on a blank disk
    And 20 s pass
    And "control-3" is asked to remove the member "control-1"
    And 20 s pass
    Then at least 20 steps conform to the specification

  Scenario: a member killed while its disk was full is not an older copy
    Given 3 members with seed 11
    When "control-3" is isolated
    And "control-1" receives edit "ana" of revision 0
    And 1 s pass
    And the disk of "control-3" is full
    And the network recovers
    And 10 s pass
    And "control-3" is killed
    And the disk of "control-3" is freed
    And "control-3" is started
    And 5 s pass
    Then "control-3" votes
    And all instances agree on revision 1
