Feature: retries stay within a share of the requests
  Servers that fail for all make every request come twice, which keeps them
  failing. A share of the requests, summed over all entries, is the bound.

  Scenario: a small entry meets its failures in a cluster
    The pattern: 6 requests a second for a pool; a server fills up, and
    5 requests in one second are refused by it.

    Given a budget of a tenth, with a reserve of 1.3
    When 6 requests a second come for 10 s without a retry
    Then 5 retries in one second are allowed

  Scenario: what was earned long ago is not kept
    Given a budget of a tenth, with a reserve of 1.3
    When 100 requests a second come for 10 s without a retry
    And 1 requests a second come for 30 s without a retry
    Then 2 retries in one second are allowed
    And the next one is not

  Scenario: sixty entries together never exceed what is allowed
    Then in 20 random runs of 62 entries no 10 s see more retries than a fifth of the requests and the reserves
