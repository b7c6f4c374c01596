Feature: hundreds of instances, some of which die
  Callers are not to be sent to a dead instance, and what others tell must get
  through although those that pass it on have died.

  Scenario: news reach a failure domain although half of its instances died
    Given 200 instances that know each other in 3 regions of 3 domains with 90 servers
    When half of the instances of one failure domain die
    And one of their servers leaves
    Then within 2 s none of the many instances takes it for ready

  Scenario: an instance that dies is suspected everywhere within 5 s
    Its own failure domain hears it each second; 200 instances told by gossip
    alone would need 6 s and more.

    Given 200 instances that know each other in 3 regions of 3 domains with 90 servers
    When one of the many instances dies
    Then within 5 s all of the many instances suspect it, and no other
