Feature: a control instance whose disk is full
  The disk of a control instance fills up during an edit. An edit that is
  reported as accepted but is on no disk would be lost at the next restart. The
  outcome of an edit that can't be synced is reported as unknown or refused. The
  instance votes again when there is space.

  Background:
    Given a single control instance on a disk that can be filled

  Scenario: a disk that fills up during an edit
    When the single instance gets edit "ana" on a full disk
    Then the single instance does not answer "ana" as accepted
    And the single instance's disk does not store "ana"

  Scenario: an edit is refused at once while the disk is full
    When the single instance gets edit "ana" on a full disk
    And the single instance gets edit "bea" on a full disk
    Then the single instance answers "bea" as refused for certain

  Scenario: the instance votes again when there is space
    When the single instance gets edit "ana" on a full disk
    And the single instance's disk has space for 6 s
    And the single instance gets edit "ana" on a good disk
    Then the single instance answers "ana" as accepted
    And the single instance's disk stores "ana"

  Scenario: a failure of the task ends pending edits as unknown
    When the single instance's task fails while edit "ana" is pending
    Then the single instance answers "ana" as unknown
