Feature: an entry that chooses servers by itself
  With one grantor for each pool, a grantor that dies leaves every request of
  the pool refused until another takes over. An entry that chooses by itself
  goes on at once; it must not flood a cold server, nor forget who is warm.

  Scenario: an object keeps to its server while that has room
    Given 6 local servers of 3 slots
    When 3 requests for object "book" are placed locally
    Then they all went to the first server of "book"

  Scenario: a loaded server's objects wait at it or go to the second, not to all
    Given 6 local servers of 3 slots
    When 12 requests for object "book" are placed locally
    Then they went to the first 2 servers of "book" alone

  Scenario: an overload is refused, not spread over servers that are cold
    Twelve seconds into a busy day half of all answers came late, then nearly
    all: loaded servers passed requests on to ones that did not know the
    objects, which took three times as long and were loaded in turn.

    Given 6 local servers of 3 slots
    And the first 2 servers of "book" know it
    When 40 requests for object "book" are placed locally
    Then those that were not refused went to the first 2 servers of "book"
    And 18 of them were refused for want of room

  Scenario Outline: in an overload the urgent requests find shorter queues
    An evening's burst brings twice the requests that the servers can do. All
    kinds wait in the same queues, and payments come too late behind the
    browsing that could have been asked to come back.

    Given 6 local servers of 3 slots
    And the first 2 servers of "book" know it
    When 40 requests of priority <priority> for object "book" are placed locally
    Then those that were not refused went to the first 2 servers of "book"
    And <refused> of them were refused for want of room

    Examples:
      | priority | refused |
      | 0        | 18      |
      | 1        | 18      |
      | 2        | 26      |
      | 7        | 26      |

  Scenario: an urgent request takes the room that is left to it
    Given 6 local servers of 3 slots
    And the first 2 servers of "book" know it
    When 40 requests of priority 2 for object "book" are placed locally
    And 40 requests of priority 0 for object "book" are placed locally
    Then 32 of them were refused for want of room

  Scenario: every entry ranks the servers alike, and a lost one moves few
    Given 6 local servers of 3 slots
    Then two entries agree on the server of each of 200 objects
    And the loss of one server moves only its own objects

  Scenario: most objects are served in their own region, yet not all
    A region with two of twenty servers has a third of the callers: all of its
    objects at home would be three times what its servers can do.

    Given local servers, 2 of region "dar" and 18 elsewhere
    Then an entry of "dar" places 0.2 to 0.5 of 400 objects in "dar"

  Scenario: a server that tells of its load from others is passed by
    Given 6 local servers of 3 slots
    And the first server of "book" told a load of 9 running or waiting
    When 1 requests for object "book" are placed locally
    Then they all went to the second server of "book"

  Scenario: a server that takes no connection rests, then is taken for cold
    Given 6 local servers of 3 slots
    And the pool's cold servers bear 4 requests a second
    And the first server of "book" took no connection
    When 1 requests for object "book" are placed locally
    Then they all went to the second server of "book"
    When 1.5 s pass for the local entry
    Then the first server of "book" gets at most 5 requests in a second

  Scenario: a server that falls silent gets no more until it answers
    A server dies without a sign. On connections that it had, requests hang
    until their time is over, and every second one of an object's went there.

    Given 6 local servers of 3 slots
    And the first server of "book" holds a request for 0.6 s without an answer
    When 1 requests for object "book" are placed locally
    Then they all went to the second server of "book"
    When the request held at the first server of "book" ends unanswered
    And 1 requests for object "book" are placed locally
    Then they all went to the first server of "book"

  Scenario: a server whose address belongs to another is left alone
    Given 6 local servers of 3 slots
    And at the address of the first server of "book" another one answered
    When 5 requests for object "book" are placed locally
    Then they all went to the second server of "book"

  Scenario Outline: cold servers get what they bear, over <entries> entries
    A zone comes back from a loss of power, all of its servers cold. Each
    entry sends what it may; together they must stay below the rate at which
    a cold server crashes, also right after entries restart.

    Given <entries> local entries that know a cold server bearing 10 a second
    When all of them place as many requests as they may for 3 s
    Then in no second did the cold server get more than 15 requests
    And in 3 s it got at least 10

    Examples:
      | entries |
      | 1       |
      | 2       |
      | 8       |
      | 80      |

  Scenario: entries that are cut off from all others do not flood a cold server
    Given 8 local entries that know a cold server bearing 10 a second
    And the 2 that rank last for it know of no other entry
    When all of them place as many requests as they may for 3 s
    Then in no second did the cold server get more than 20 requests

  Scenario: an evacuated failure domain gets nothing, whatever the object
    Given 6 local servers of 3 slots
    When 300 requests for 100 objects are placed locally with "dar-1" closed
    Then no server of "dar-1" got any

  Scenario: with all servers full a request is refused at once
    Given 2 local servers of 3 slots
    And the first 2 servers of "book" know it
    When 30 requests for object "book" are placed locally
    Then 8 of them were refused for want of room

  Scenario: a server that is silent for two others gets nothing more
    A server stops answering. Each of many entries would lose a request to it
    before it knows, and lose the next one once that has run out of time.

    Given 6 local servers of 3 slots
    And 2 other entries wait in vain at the first server of "book"
    When 1 requests for object "book" are placed locally
    Then they all went to the first server of "book"
    When the other entries tell what they learned
    And 1 requests for object "book" are placed locally
    Then they all went to the second server of "book"
    When 2 s pass for the local entry
    And the request held at the first server of "book" ends unanswered
    And 1 requests for object "book" are placed locally
    Then they all went to the first server of "book"

  Scenario: one entry that waits in vain is not believed alone
    An entry may be cut off from a server that all others reach.

    Given 6 local servers of 3 slots
    And 1 other entries wait in vain at the first server of "book"
    When the other entries tell what they learned
    And 2 requests for object "book" are placed locally
    Then they all went to the first server of "book"

  Scenario: that a server was silent says nothing of its next life
    A server that restarts answers again. What others said of it before, still
    on its way, would keep requests away from it.

    Given 6 local servers of 3 slots
    And 2 other entries wait in vain at the first server of "book"
    And the first server of "book" starts again
    When the other entries tell what they learned
    And 1 requests for object "book" are placed locally
    Then they all went to the first server of "book"

  Scenario: choosing for an object costs the same in a pool of any size
    A pool of hundreds of servers is looked through with each request, until
    the entry's processor is busy with choosing and callers wait for it.

    Given 400 local servers of 3 slots
    When 50 requests for object "book" are placed and answered locally
    Then at most 3 servers were looked at for each

  Scenario: what a cold server bears counts from when it is known to be cold
    A zone's servers come back cold. An entry counted what it may send to one
    from the first request for it, which it then had to send elsewhere, to a
    server that did not know the object: the first request of every object.

    Given 6 local servers of 3 slots
    And the pool's cold servers bear 9.9 requests a second
    And the first server of "book" says that it is cold
    When 1 requests for object "leaf" are placed locally
    And 1 s pass for the local entry
    And 1 requests for object "book" are placed locally
    Then they all went to the first server of "book"
    And they were placed as at a cold server
