Feature: hundreds of instances know who is there
  After a loss of everything 440 processes start in the same second and
  thousands of servers announce themselves. What they tell each other must
  not fill the links between regions, and callers wait until it is known.

  Scenario Outline: all of <instances> instances start at once
    Given <instances> instances that start at once in 3 regions of 3 domains with <servers> servers
    When 5 s pass among the many instances
    Then each of the many instances knows all servers and instances
    And none of them got more than 3 times what there is to know
    And less than <far_kb> KB went between regions for each of them

    Examples:
      | instances | servers | far_kb |
      | 200       | 450     | 20     |

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
      | 0.0  |
      | 0.3  |

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

  Scenario: an instance that stood still suspects nobody when it goes on
    Given 16 instances that know each other in 3 regions of 2 domains with 12 servers
    When one of the many instances stands still for 6 s
    Then nobody else is suspected by the many instances

  Scenario: a tombstone is forgotten
    Given 16 instances that know each other in 3 regions of 2 domains with 12 servers
    When one of their servers falls silent for good
    Then after 150 s none of the many instances holds a word of it

  Scenario: a server that moved to another instance and then dies is gone
    Control is cut in two for a while, so that servers announce themselves
    elsewhere. Their first monitor lived on, took itself for cut off, and
    vouched for dead servers for 30 s.

    Given 16 instances that know each other in 3 regions of 2 domains with 48 servers
    When all servers of one of the many instances move to another
    And 6 s pass among the many instances
    And one of their servers falls silent for good
    Then within 8 s none of the many instances takes it for ready
    And the other servers are ready at all of the many instances
