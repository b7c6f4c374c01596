Feature: alarms to hundreds of instances
  An entry that does not receive an alarm goes on sending requests to a server
  that stops, or sends a cold server as many as a warm one can take.

  Scenario Outline: a server that leaves, with <loss> of the datagrams lost
    Given 200 instances that know each other in 3 regions of 3 domains with 90 servers
    When <loss> of the datagrams among the many instances are lost
    And one of their servers leaves
    Then within 2 s none of the many instances has it as ready

    Examples:
      | loss |
      | 0.0  |
      | 0.3  |

  Scenario Outline: a server that is cold again, with <loss> of the datagrams lost
    A server may become cold at any time. An instance that does not learn of
    it in time sends it as many requests as a warm one can take.

    Given 200 instances that know each other in 3 regions of 3 domains with 90 servers
    When <loss> of the datagrams among the many instances are lost
    And one of their servers becomes cold for 3 s
    Then within 2 s all of the many instances have it as cold

    Examples:
      | loss |
      | 0.3  |
