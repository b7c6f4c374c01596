Feature: membership of hundreds of instances
  After a loss of all machines, 440 processes start in the same second and
  thousands of servers announce themselves. The datagrams must not fill the
  links between regions, and callers wait until the directory is complete.

  Scenario Outline: all of <instances> instances start at once
    Given <instances> instances that start at once in 3 regions of 3 domains with <servers> servers
    When 5 s pass for the many instances
    Then each of the many instances knows all servers and instances
    And none of them received more than 3 times the size of all records
    And less than <far_kb> KB were sent between regions for each of them

    Examples:
      | instances | servers | far_kb |
      | 200       | 450     | 20     |

  Scenario: an instance that was stopped suspects no other when it continues
    Given 16 instances that know each other in 3 regions of 2 domains with 12 servers
    When one of the many instances is stopped for 6 s
    Then the many instances suspect no other instance

  Scenario: a tombstone is dropped
    Given 16 instances that know each other in 3 regions of 2 domains with 12 servers
    When one of their servers falls silent for good
    Then after 150 s none of the many instances has a record of it

  Scenario: a server that moved to another instance and then dies is gone
    During a partition of the control instances, servers announce themselves to
    other instances than before. Their first monitor still ran. It assumed that
    it was cut off from the servers, and vouched for dead ones for 30 s.

    Given 16 instances that know each other in 3 regions of 2 domains with 48 servers
    When all servers of one of the many instances move to another
    And 6 s pass for the many instances
    And one of their servers falls silent for good
    Then within 8 s none of the many instances has it as ready
    And the other servers are ready at all of the many instances
