Feature: a request goes to the server with the shortest expected time to answer
  Servers cache the objects that they handled recently and take a third of the
  time for them. The wait in a queue depends on the queued requests: at a server
  with nine searches it is a tenth of a second, with nine status checks two.

  Scenario: a booking queues at a server with the object cached
    The deadline of a booking is 1.2 s, and without the object cached it takes
    1.16 s. Guards against sending it to such a server with a shorter queue,
    where half of the bookings missed the deadline.

    Given 4 servers of 5 slots, compared by expected time
    And bookings take 0.35 s with the object cached and 1.16 s elsewhere
    And "role" was last answered by the second server
    And the first server has 12 requests
    And the second server has 8 requests
    When a booking of "role" with a goal of 0.8 s is placed
    Then it goes to the second server, expected within 0.7 s

  Scenario: an object returns to its first server when that has free slots
    Guards against an object that stays at the servers which answered last: it
    would be cached at as many servers as there are entries, and evict other
    objects there.

    Given 4 servers of 5 slots, compared by expected time
    And bookings take 0.35 s with the object cached and 1.16 s elsewhere
    And "role" was last answered by the second server
    When a booking of "role" with a goal of 0.8 s is placed
    Then it goes to the first server, expected within 0.4 s

  Scenario: a server that restarted is assumed to have no object cached
    Given 4 servers of 5 slots, compared by expected time
    And bookings take 0.35 s with the object cached and 1.16 s elsewhere
    And "role" was last answered by the second server
    And the first server has 8 requests
    And the second server restarted
    When a booking of "role" with a goal of 0.8 s is placed
    Then it goes to the first server, expected within 0.7 s

  Scenario: a short request is not queued behind long ones
    Searches with a goal of 0.25 s share servers with checks of 0.66 s.

    Given 4 servers of 5 slots, compared by expected time
    And searches take 0.1 s with the object cached and 0.35 s elsewhere
    And checks take 0.66 s with the object cached and 2.2 s elsewhere
    And all servers have 9 requests
    When a search of "calls" with a goal of 0.25 s is placed
    Then it is refused

  Scenario: a long request may be queued behind short ones
    Given 4 servers of 5 slots, compared by expected time
    And searches take 0.1 s with the object cached and 0.35 s elsewhere
    And all servers have 9 requests
    When a check of "calls" with a goal of 1.5 s is placed
    Then it is sent

  Scenario: a request that is already late goes only to a server without a queue
    After a power loss an entry received the requests of a second at once.
    Guards against queueing them, which made all later requests late for four
    seconds.

    Given 4 servers of 5 slots, compared by expected time
    And bookings take 0.35 s with the object cached and 1.16 s elsewhere
    And all servers have 6 requests
    When a booking of "role" with a goal of 0.8 s is placed after 0.9 s
    Then it is refused, with a retry after 0.1 to 1 s
    When a booking of "role" with a goal of 0.8 s is placed
    Then it is sent

  Scenario: time spent in a queue is not counted as run time
    Given 4 servers of 5 slots, compared by expected time
    And bookings take 0.35 s with the object cached and 1.16 s elsewhere
    When 50 bookings of cached objects take 2 s at servers with a queue
    Then a booking is still expected to take 0.3 to 0.4 s

  Scenario: the estimates follow changing run times
    Given 4 servers of 5 slots, compared by expected time
    And bookings take 0.35 s with the object cached and 1.16 s elsewhere
    When 60 bookings of cached objects take 0.7 s
    Then a booking is still expected to take 0.6 to 0.8 s

  Scenario: the number of tracked objects is bounded
    When 30000 objects are answered by 5 servers each
    Then at most 20000 objects with 3 servers each are tracked
