Feature: a failure domain gets work again
  While a failure domain is evacuated its servers may become cold. Their own
  word of that may be late, or lost; until it comes, entries must not send them
  what warm servers bear.

  Scenario: cold servers of a domain that gets work again are not flooded
    Given 11 entries, and 6 servers in each of 2 failure domains that bear 6.8 requests a second while cold
    When one domain is evacuated for 5 s
    And its servers say nothing, and 120 requests a second are placed for 3 s
    Then in no second did a server of that domain get more than 15 requests
    And all requests found a server
