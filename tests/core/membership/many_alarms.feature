Feature: hundreds of instances hear at once of a server that needs care
  An entry that is not told goes on sending to a server that stops, or sends a
  cold one what a warm one bears.

  Scenario Outline: a server that leaves, with <loss> of the datagrams lost
    Given 200 instances that know each other in 3 regions of 3 domains with 90 servers
    When <loss> of the datagrams among the many instances are lost
    And one of their servers leaves
    Then within 2 s none of the many instances takes it for ready

    Examples:
      | loss |
      | 0.0  |
      | 0.3  |

  Scenario Outline: a server that is cold again, with <loss> of the datagrams lost
    A server may become cold at any moment. An instance that does not hear of
    it in time sends it what a warm one bears.

    Given 200 instances that know each other in 3 regions of 3 domains with 90 servers
    When <loss> of the datagrams among the many instances are lost
    And one of their servers becomes cold for 3 s
    Then within 2 s all of the many instances take it for cold

    Examples:
      | loss |
      | 0.3  |
