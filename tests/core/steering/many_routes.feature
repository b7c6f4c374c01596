Feature: shares of pools with many routes
  Entries update the shares of each pool five times a second, whatever the
  tables are. If that takes long with many routes, requests wait behind it.

  # Guards against entries that are busy with the routes and answer no request.
  Scenario: shares and requests with 1400 routes
    Given traffic shares of 2 pools with 700 routes each
    When an edit changes one route
    And the shares are updated for 10 s while 130 requests are decided
    Then that took at most 3.3 % of a core
