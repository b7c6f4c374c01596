Feature: load that does not forgive a stall
  A server stands still for a second while callers would have gone on sending.
  A tool that waits for each answer before it sends the next counts one slow
  request and hides the others that were held up. Every request counts from the
  moment it was due.

  Scenario: a stall shows in all the requests that it held up
    Given a load of 100 requests a second for 10 s by 1 caller
    When the server stalls from 4 s to 5 s
    Then each of the requests due from 4 s to 4.9 s took more than 100 ms
    And the longest took at least 900 ms

  Scenario: the same seed gives the same schedule
    Given a load of 100 requests a second for 10 s by 1 caller
    Then two schedules of it are alike, and unlike one of another seed

  Scenario: a scenario file with a fault is refused
    When a load scenario without a mix is read
    Then the load scenario is refused at "mix"
