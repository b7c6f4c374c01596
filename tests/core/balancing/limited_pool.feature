Feature: a pool of which many servers limit their requests
  Requests that the limits turn away from an object's servers take three times as
  long at servers that do not have the object cached.

  # Guards against an overload of the servers without a limit, which then have
  # nothing cached for long, when most servers of a pool are at their limits.
  Scenario: most servers of a pool are at their limits
    Given the catalogue of a market, at 0.8 of its usual load
    When 16 of its 20 servers limit their requests to 4.3 a second for 42 s
    Then at most 0.1 of the runs were of objects that are not cached
    And more was earned than if requests were passed on to all servers

  # Guards against refusals while the other servers have room.
  Scenario: a few servers of a pool are at their limits
    Given the catalogue of a market, at 0.8 of its usual load
    When 2 of its 20 servers limit their requests to 4.3 a second for 42 s
    Then at most 0.03 less of the worth was earned than without limits
