Feature: instances learn late which requests crash servers

  # Guards against a restarted entry that knows of no request yet.
  Scenario: an instance that starts learns what the others hold back
    Given 13 instances of which 0.3 of the datagrams are lost, seeds 1 to 20
    When 3 servers crash under one request, seen at one instance
    And 30 s later one instance starts anew
    Then 2.5 s later all of them hold it back

  # Guards against an entry that was cut off while others learned.
  Scenario Outline: an instance that was cut off learns what the others hold back
    Given 13 instances of which <lost> of the datagrams are lost, seeds 1 to 20
    When one instance is cut off
    And 3 servers crash under one request, seen at one instance
    And 30 s later the cut heals
    Then <soon> s later all of them hold it back

    Examples:
      | lost | soon |
      | 0.01 | 2.5  |
      | 0.3  | 10   |
