Feature: local placement, where an entry chooses servers itself
  With one grantor for each pool, the loss of a grantor causes all requests of
  the pool to be refused until another entry takes over. Local placement needs
  no grantor. It must still not flood a cold server, and must send the requests
  for an object to servers that have it cached.

  Scenario: the requests for an object go to one server while it has free slots
    Given 6 local servers of 3 slots
    When 3 requests for object "book" are placed locally
    Then all requests went to the first server of "book"

  Scenario: with no free slot they queue there or go to the second server only
    Given 6 local servers of 3 slots
    When 12 requests for object "book" are placed locally
    Then the requests went to exactly the first 2 servers of "book"

  Scenario: an overload is refused and not spread over all servers
    Guards against an overload that grows: requests moved on from loaded servers
    to servers without the object cached take three times as long there, and
    load these servers in turn.

    Given 6 local servers of 3 slots
    And the first 2 servers of "book" have it cached
    When 40 requests for object "book" are placed locally
    Then the accepted requests went to the first 2 servers of "book"
    And 18 of the requests were refused

  Scenario Outline: in an overload less urgent requests are refused earlier
    Guards against urgent requests that are late during a burst since they share
    queues with requests that could have been refused.

    Given 6 local servers of 3 slots
    And the first 2 servers of "book" have it cached
    When 40 requests of priority <priority> for object "book" are placed locally
    Then the accepted requests went to the first 2 servers of "book"
    And <refused> of the requests were refused

    Examples:
      | priority | refused |
      | 0        | 18      |
      | 1        | 18      |
      | 2        | 26      |
      | 7        | 26      |

  Scenario: an urgent request is accepted where less urgent ones are refused
    Given 6 local servers of 3 slots
    And the first 2 servers of "book" have it cached
    When 40 requests of priority 2 for object "book" are placed locally
    And 40 requests of priority 0 for object "book" are placed locally
    Then 32 of the requests were refused

  Scenario: all entries rank the servers equally, and a loss moves few objects
    Given 6 local servers of 3 slots
    Then two entries agree on the server of each of 200 objects
    And the loss of one server moves only its own objects

  Scenario: most objects, but not all, are served in their own region
    Guards against overloading a region that has two of twenty servers and a
    third of the callers: all of its objects would be three times the load that
    its servers can sustain.

    Given local servers, 2 of region "dar" and 18 elsewhere
    Then an entry of "dar" places 0.2 to 0.5 of 400 objects in "dar"

  Scenario: a server that reports load from other entries gets no request
    Given 6 local servers of 3 slots
    And the first server of "book" reported 9 running or waiting requests
    When 1 requests for object "book" are placed locally
    Then all requests went to the second server of "book"

  Scenario: a server that refuses connections is ejected, then treated as cold
    Given 6 local servers of 3 slots
    And the pool's cold servers sustain 4 requests a second
    And the first server of "book" refused a connection
    When 1 requests for object "book" are placed locally
    Then all requests went to the second server of "book"
    When 1.5 s pass for the local entry
    Then the first server of "book" gets at most 5 requests in a second

  Scenario: a server that falls silent gets no requests until its last one ends
    Guards against losing every second request for an object at a server that
    died without closing its connections: requests on them hang until their
    time-out.

    Given 6 local servers of 3 slots
    And a request to the first server of "book" is unanswered for 0.6 s
    When 1 requests for object "book" are placed locally
    Then all requests went to the second server of "book"
    When the pending request to the first server of "book" fails
    And 1 requests for object "book" are placed locally
    Then all requests went to the first server of "book"

  Scenario: a server whose address belongs to another server is ejected
    Given 6 local servers of 3 slots
    And another server answered at the address of the first server of "book"
    When 5 requests for object "book" are placed locally
    Then all requests went to the second server of "book"

  Scenario Outline: <entries> entries together respect the rate of a cold server
    After a power loss all servers of a failure domain are cold. The entries
    together must stay below the rate at which a cold server crashes, also right
    after the entries restart.

    Given <entries> local entries and a cold server with cold_rate 10
    When all entries place as many requests as they can for 3 s
    Then the cold server got at most 15 requests in any second
    And in 3 s the cold server got at least 10 requests

    Examples:
      | entries |
      | 1       |
      | 2       |
      | 8       |
      | 80      |

  Scenario: entries that are cut off from the others do not flood a cold server
    Given 8 local entries and a cold server with cold_rate 10
    And the 2 entries that rank last for it know no other entry
    When all entries place as many requests as they can for 3 s
    Then the cold server got at most 20 requests in any second

  Scenario: an evacuated failure domain gets no request for any object
    Given 6 local servers of 3 slots
    When 300 requests for 100 objects are placed locally with "dar-1" closed
    Then no server of "dar-1" got a request

  Scenario: with all servers full a request is refused at once
    Given 2 local servers of 3 slots
    And the first 2 servers of "book" have it cached
    When 30 requests for object "book" are placed locally
    Then 8 of the requests were refused

  Scenario: a server that two other entries report as silent gets no requests
    Guards against each of many entries losing a request to a server that
    stopped answering, and another one after the time-out of the first.

    Given 6 local servers of 3 slots
    And 2 other entries have unanswered requests at the first server of "book"
    When 1 requests for object "book" are placed locally
    Then all requests went to the first server of "book"
    When the other entries report their silent servers
    And 1 requests for object "book" are placed locally
    Then all requests went to the second server of "book"
    When 2 s pass for the local entry
    And the pending request to the first server of "book" fails
    And 1 requests for object "book" are placed locally
    Then all requests went to the first server of "book"

  Scenario: the report of a single entry has no effect
    An entry may be cut off from a server that all others reach.

    Given 6 local servers of 3 slots
    And 1 other entries have unanswered requests at the first server of "book"
    When the other entries report their silent servers
    And 2 requests for object "book" are placed locally
    Then all requests went to the first server of "book"

  Scenario: a report on a silent server does not apply to its next incarnation
    Guards against delayed reports that keep requests away from a server which
    has restarted and answers again.

    Given 6 local servers of 3 slots
    And 2 other entries have unanswered requests at the first server of "book"
    And the first server of "book" restarts
    When the other entries report their silent servers
    And 1 requests for object "book" are placed locally
    Then all requests went to the first server of "book"

  Scenario: choosing for an object costs the same in a pool of any size
    Guards against examining all servers of a large pool for each request, which
    would take all of the entry's processor time.

    Given 400 local servers of 3 slots
    When 50 requests for object "book" are placed and answered locally
    Then at most 3 servers were examined

  Scenario: the allowance of a cold server accrues from its announcement
    Guards against an allowance that accrues only from the first request for the
    server: the first request for every object would go to another server, which
    does not have the object cached.

    Given 6 local servers of 3 slots
    And the pool's cold servers sustain 9.9 requests a second
    And the first server of "book" announces that it is cold
    When 1 requests for object "leaf" are placed locally
    And 1 s pass for the local entry
    And 1 requests for object "book" are placed locally
    Then all requests went to the first server of "book"
    And the grants mark the server as cold
