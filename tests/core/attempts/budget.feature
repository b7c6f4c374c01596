Feature: retries are limited to a share of the requests
  Servers that fail all requests would get every request up to three times,
  which keeps them failing. The retries of all entries together are limited to a
  share of the requests.

  Scenario: an entry with few requests retries a cluster of failures
    At 6 requests a second for a pool, a server is full and refuses 5 requests
    in one second.

    Given a budget of a tenth, with a reserve of 1.3
    When 6 requests a second come for 10 s without a retry
    Then 5 retries in one second are allowed

  Scenario: retries earned long ago expire
    Given a budget of a tenth, with a reserve of 1.3
    When 100 requests a second come for 10 s without a retry
    And 1 requests a second come for 30 s without a retry
    Then 2 retries in one second are allowed
    And one more retry is not allowed

  Scenario: sixty entries together never exceed the limit
    Then in 20 random runs of 62 entries no 10 s have more retries than a fifth of the requests and the reserves
