Feature: acknowledgement of servers that leave
  A server that leaves stops some seconds after its acknowledgement, so that
  entries must have stopped sending requests to it by then. A server may ask to
  be removed by its id alone.

  # Guards against acknowledging a leave that this instance can't apply.
  Scenario: a server unknown to an instance that has just started
    Given a control instance that started 0.2 s ago and reaches a majority
    When a server that it has no record of asks to be removed
    Then that is not acknowledged
    When the server's record arrives from another instance
    Then the server is leaving there
    When the server asks again to be removed
    Then that is acknowledged

  # Guards against a delayed announcement that revives a removed server.
  Scenario: a server of which no instance has a record
    Given a control instance that started 4 s ago and reaches a majority
    When a server that it has no record of asks to be removed
    Then that is acknowledged
    When an announcement that the server sent before arrives there
    Then the server is leaving there

  # Guards against a new incarnation that stays without requests.
  Scenario: a removed server that starts again under its id
    Given a control instance that started 4 s ago and reaches a majority
    When the server's record arrives from another instance
    And the server asks again to be removed
    Then that is acknowledged
    When the server starts again under its id
    Then the server is ready there

  # Guards against acknowledgements by an instance that is cut off.
  Scenario: a server that leaves at an instance that is cut off
    Given a control instance that started 4 s ago and reaches no majority
    When the server's record arrives from another instance
    And the server asks again to be removed
    Then that is not acknowledged

  # Guards against a power failure after which a delayed announcement revives a
  # server that left.
  Scenario: an acknowledged leave survives a restart
    Given a control instance that started 4 s ago and reaches a majority
    When the server's record arrives from another instance
    And the server asks again to be removed
    Then that is acknowledged
    When the control instance starts again
    And an announcement that the server sent before arrives there
    Then the server is leaving there

  # Guards against acknowledging a leave that a power failure would undo.
  Scenario Outline: a server leaves at an instance whose disk <fault>
    Given a control instance that started 4 s ago and reaches a majority
    And a disk that <fault>
    When the server's record arrives from another instance
    And the server asks again to be removed
    Then that is not acknowledged

    Examples:
      | fault          |
      | hangs          |
      | refuses writes |

  # Guards against control instances that fail to start on a corrupt record.
  Scenario: corrupt leave records are ignored
    Given a control instance that started 4 s ago and reaches a majority
    When the server's record arrives from another instance
    And the server asks again to be removed
    And it starts again after its leave records were corrupted
    And the server announces itself there
    Then the server is ready there
