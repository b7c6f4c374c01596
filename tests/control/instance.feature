Feature: the task of a control instance
  The disk of a control instance fills up in the middle of an edit. Told
  "accepted", the operator would rely on an edit that is on no disk and is gone
  with the next restart. What cannot be synced is told as unknown or refused,
  and the instance votes again by itself once there is room.

  Background:
    Given a lone control instance on a disk that can be filled

  Scenario: a disk that fills up under an edit
    When the lone instance takes edit "ana" on a full disk
    Then the lone instance's answer to "ana" is no acceptance
    And the lone instance's disk does not hold "ana"

  Scenario: refused at once while the disk is full
    When the lone instance takes edit "ana" on a full disk
    And the lone instance takes edit "bea" on a full disk
    Then the lone instance's answer to "bea" is a certain refusal

  Scenario: votes again by itself once there is room
    When the lone instance takes edit "ana" on a full disk
    And the lone instance's disk has room for 6 s
    And the lone instance takes edit "ana" on a good disk
    Then the lone instance's answer to "ana" is acceptance
    And the lone instance's disk holds "ana"

  Scenario: a restart of its task tells what it never answered
    When the lone instance's task dies while edit "ana" waits
    Then the lone instance's answer to "ana" is unknown
