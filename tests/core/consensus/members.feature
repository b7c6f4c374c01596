Feature: members of the replicated register
  A control instance loses its disk and comes back blank under the same name.
  If it voted at once, the two that forgot and one that missed an edit could
  decide without it: an accepted edit would be gone. It votes only once it has
  caught up and a majority that does has admitted it.

  Scenario: blank instances form a cluster by themselves
    Given 3 blank instances with seed 1 that are not started
    When "control-3" is started
    And "control-2" is started
    And 30 s pass
    Then "control-2" holds nothing and does not form a cluster
    When "control-1" is started
    And 1 s pass
    Then all agree on revision 0

  Scenario: a blank disk beside others with data never forms a second cluster
    Given 3 members with seed 1
    When "control-1" gets edit "ana" of revision 0
    And 1 s pass
    And "control-2" is killed
    And "control-3" is killed
    And "control-1" loses its disk and comes back blank
    And 60 s pass
    Then "control-1" holds nothing and does not form a cluster
    When "control-2" is started
    And 60 s pass
    And "control-3" is started
    And 10 s pass
    Then "control-1" votes
    And all agree on revision 1

  Scenario: an instance back on a blank disk is admitted by itself
    Given 3 members with seed 2
    When "control-1" gets edit "ana" of revision 0
    And 1 s pass
    And "control-2" loses its disk and comes back blank
    And 5 s pass
    Then "control-2" votes
    And all agree on revision 1

  Scenario: a second disk lost right after the repair of the first
    Given 3 members with seed 3
    When "control-3" is killed
    And "control-1" gets edit "ana" of revision 0
    And 1 s pass
    And "control-3" loses its disk and comes back blank
    And all of them vote again
    And "control-1" loses its disk and stays down
    And "control-2" gets edit "bea" of revision 1
    And 2 s pass
    Then edit "bea" is accepted as revision 2
    When "control-1" is started
    And 5 s pass
    Then all agree on revision 2

  Scenario: a second process killed during the repair of the first
    Given 3 members with seed 4
    When "control-1" gets edit "ana" of revision 0
    And 1 s pass
    And "control-2" loses its disk and comes back blank
    And "control-3" is killed
    And 20 s pass
    And "control-1" gets edit "bea" of revision 1
    And 10 s pass
    Then edit "bea" is certain never to take effect
    When "control-3" is started
    And 10 s pass
    And "control-1" gets edit "bea" of revision 1
    And 2 s pass
    Then edit "bea" is accepted as revision 2

  Scenario: an instance is added and another removed
    Given 3 members with seed 5
    When a further instance "control-4" starts blank
    And 5 s pass
    And "control-1" is asked to add the member "control-4"
    And 2 s pass
    Then the members are "control-1", "control-2", "control-3", "control-4"
    When "control-1" is asked to remove the member "control-1"
    And 2 s pass
    Then the members are "control-2", "control-3", "control-4"
    And "control-1" does not vote: "removed or replaced"
    When "control-4" gets edit "ana" of revision 0
    And 1 s pass
    Then edit "ana" is accepted as revision 1

  Scenario: an instance that was not heard of is not added
    Given 3 members with seed 6
    When "control-1" is asked to add the member "control-9"
    And 2 s pass
    Then the change of members is refused: "has sent no recent status"

  Scenario: a removal that would leave no majority alive is refused
    Given 3 members with seed 7
    When "control-3" is killed
    And 10 s pass
    And "control-1" is asked to remove the member "control-2"
    And 2 s pass
    Then the change of members is refused: "no majority of the remaining members"

  Scenario: an older copy of the data folder is put back
    Given 3 members with seed 8
    When "control-3" is restarted
    And 3 s pass
    And a copy of the data folder of "control-3" is taken
    And "control-3" is restarted
    And 3 s pass
    And the copy is put back on "control-3" and started
    And 3 s pass
    Then "control-3" does not vote: "older copy"

  Scenario: a copy taken within the last run lacks a vote that others saw
    Given 3 members with seed 9
    When a copy of the data folder of "control-3" is taken
    And "control-1" gets edit "ana" of revision 0
    And 3 s pass
    And the copy is put back on "control-3" and started
    And 3 s pass
    Then "control-3" does not vote: "older copy"
    When "control-3" loses its disk and comes back blank
    And 5 s pass
    Then "control-3" votes
    And all agree on revision 1

  Scenario: the steps of a replacement conform to the specification
    Given 3 members with seed 10 on a network that loses a tenth
    When "control-1" gets edit "ana" of revision 0
    And "control-2" loses its disk and comes back blank
    And 20 s pass
    And "control-3" is asked to remove the member "control-1"
    And 20 s pass
    Then at least 20 steps conformed

  Scenario: a member killed while its disk was full is no older copy
    Given 3 members with seed 11
    When "control-3" is cut off
    And "control-1" gets edit "ana" of revision 0
    And 1 s pass
    And the disk of "control-3" is full
    And all cuts end
    And 10 s pass
    And "control-3" is killed
    And the disk of "control-3" is emptied
    And "control-3" is started
    And 5 s pass
    Then "control-3" votes
    And all agree on revision 1
