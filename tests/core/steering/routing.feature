Feature: requests are matched against the table of routes
  Among the routes of the host of a request, or else of any host, the longest
  prefix of its path decides, and of equal ones the first name.

  Scenario: random tables and requests
    When random requests are matched against random routes
    Then each got the route that a search through all routes finds

  # Guards against entries that are busy with the routes and answer no request.
  Scenario: requests to a host with 12600 routes
    Given a router with 12600 routes of one host
    When 2000 requests to that host are matched
    Then that took at most 100 us a request
