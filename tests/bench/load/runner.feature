Feature: the load generator measures latency from the planned send time
  A server stalls for a second while callers would have sent more requests. A
  load generator that waits for each response before it sends the next request
  would count one slow request and hide the others that were delayed
  (coordinated omission). The latency of each request therefore counts from the
  time at which it was due.

  Scenario: a stall shows in the latency of every request that it delayed
    Given a load of 100 requests a second for 10 s by 1 caller
    When the server stalls from 4 s to 5 s
    Then each of the requests due from 4 s to 4.9 s took more than 100 ms
    And the longest request took at least 900 ms

  Scenario: the same seed gives the same schedule
    Given a load of 100 requests a second for 10 s by 1 caller
    Then two schedules of it are equal, and differ from one of another seed

  Scenario: an invalid scenario file is refused
    When a load scenario without a mix is read
    Then the load scenario is refused at "mix"
