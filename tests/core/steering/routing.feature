Feature: routes of requests
  The route of a request is the one with the longest prefix that begins its path
  as it was sent. A server that gets it sees the same path.

  # Guards against sending a request to the pool of a prefix that its path
  # doesn't begin with.
  Scenario Outline: "<path>" matches the route "<route>"
    Given routes with these prefixes
      | name    | prefix       |
      | all     | /            |
      | shop    | /shop/       |
      | archive | /shop/old/   |
      | space   | /a%20b/      |
      | coffee  | /café/       |
      | iced    | /café/iced/  |
      | slash   | /shop/x%2Fy/ |
    Then the path "<path>" matches the route "<route>"

    Examples: as in the table
      | path         | route   |
      | /shop/1      | shop    |
      | /shop/old/1  | archive |
      | /shop        | all     |
      | /Shop/old/1  | all     |
      | /shop//old/1 | shop    |

    Examples: escaped slashes, which separate no segments
      | path          | route |
      | /shop/old%2F1 | shop  |
      | /shop/old%2f1 | shop  |
      | /shop%2Fold/1 | all   |
      | /shop/x%2Fy/1 | slash |
      | /shop/x/y/1   | shop  |

    Examples: other escapes
      | path             | route |
      | /%73hop/old/1    | all   |
      | /shop/%6Fld/1    | shop  |
      | /shop/%2e/old/1  | shop  |
      | /a%20b/1         | space |
      | /shop/old%252F1  | shop  |

    Examples: letters outside ASCII, which a caller has to escape
      | path              | route  |
      | /caf%C3%A9/1      | coffee |
      | /caf%c3%a9/1      | coffee |
      | /caf%C3%A9%2Ficed/ | all    |
      | /caf%C3%A9/iced/1 | iced   |
      | /caf%C3%A9/iced%2F | coffee |
      | /cafe/1           | all    |

  Scenario: random tables and requests
    When random requests are matched against random routes
    Then each got the route that a search through all routes finds

  # Guards against entries that are busy with the routes and answer no request.
  Scenario: requests to a host with 12600 routes
    Given a router with 12600 routes of one host
    When 2000 requests to that host are matched
    Then that took at most 100 us a request
