Feature: failures among hundreds of instances
  Callers must not be sent to a dead instance, and alarms must arrive although
  some of the instances that relay them have died.

  Scenario: alarms reach a failure domain although half of its instances died
    Given 200 instances that know each other in 3 regions of 3 domains with 90 servers
    When half of the instances of one failure domain die
    And one of their servers leaves
    Then within 2 s none of the many instances has it as ready

  Scenario: an instance that dies is suspected everywhere within 5 s
    Its own failure domain receives its heartbeats each second. Gossip alone
    would need 6 s and more to reach 200 instances.

    Given 200 instances that know each other in 3 regions of 3 domains with 90 servers
    When one of the many instances dies
    Then within 5 s all of the many instances suspect it, and no other
