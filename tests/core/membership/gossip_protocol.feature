Feature: gossip of servers and instances
  A server announces to one entry that it is leaving, and another entry grants
  its slots. If that entry learned of it late, it would send requests to a
  server that stops. Datagrams also arrive twice, late and out of order, and
  the servers of a region that is cut off must not be dropped at once.

  Background:
    Given 12 instances in 3 regions with 24 servers, loss 0

  Scenario: a new entry knows all servers before it accepts requests
    When a new instance starts
    Then it knows 24 servers when it becomes ready, within 1.5 s

  Scenario Outline: leaving reaches every instance within 3 s, loss <loss>
    When datagrams are lost at a rate of <loss>
    And a server announces to one instance that it leaves
    Then within 3 s no instance has the server as ready

    Examples:
      | loss |
      | 0.0  |
      | 0.3  |

  Scenario Outline: a server that only asks to be removed leaves everywhere, <where>
    A server announces itself for a while, then asks once to be removed and
    stops seconds later. That request has no sequence number. When it got a
    number below that of the server's last announcement, it was ignored as old.
    Requests to the server continued.

    When the servers announce themselves for 10 s
    And a server asks <where> to be removed
    Then within 2 s no instance has the server as ready
    And it is not ready during 5 s of further announcements

    Examples:
      | where               |
      | its own instance    |
      | another instance    |

  Scenario: an announcement that arrives late does not make a server warm
    When a server becomes cold for 3 s, and all instances know
    And its previous announcement arrives late at another instance
    Then every instance has it as cold

  Scenario: a new instance does not treat a server as cold that is warm again
    In its first seconds, a restarted entry sent next to no requests to the
    servers that had been cold before.

    When a server becomes cold for 3 s, and all instances know
    And the servers announce themselves for 10 s
    And a new instance starts
    Then for 2 s no instance has it as cold

  Scenario: a server that falls silent is gone everywhere
    When a server falls silent
    Then within 8 s no instance has the server as ready

  Scenario: servers are kept when their monitor dies
    When the monitor of a server dies
    And the server announces itself to another instance
    Then for 10 s the server is ready at every live instance

  Scenario: servers of a region that is cut off are kept for a while
    When the instances of one region are cut off from the others
    Then after 12 s the others still have its servers as ready
    And after 60 s they do not
    When the cut ends
    Then after 12 s all instances know 24 servers

  Scenario: an instance without power is not returned to callers after 5 s
    A machine loses power. Callers that are sent there try to connect for a
    second, which is all the time that they have for a request. Until the
    instance's lease ended, for 6 s, a third of a region's callers were sent
    there.

    When an instance dies
    Then within 5 s every other instance suspects it and no other

  Scenario: without failures no instance is suspected
    Then for 60 s no instance suspects another

  Scenario: instances do not send each other a dropped record forever
    When an instance dies
    Then within 30 s no instance knows it

  Scenario: duplicate, late and reordered datagrams change nothing
    When datagrams are duplicated and delayed at random for 20 s
    Then all instances know 24 servers and 12 instances

  Scenario: the traffic of gossip stays within its limit
    Then an instance sends less than 10000 bytes a second
