Feature: an entry's steering during a shift
  A caller with an old look-up, or whose entry stops, uses an entry of another
  region. If the region of that entry counted as the caller's home, cached
  look-ups would move traffic between regions a TTL late and without any cap.

  Scenario: all entries steer the requests of a caller in the same way
    Given steering at entries of dar and arusha with client blocks
    When dar is drained and 5 minutes of steering pass
    Then both entries steer 500 requests of a dar caller alike, half to arusha
    And without client blocks the entries steer them differently

  Scenario: a starting entry adopts the shares of a running entry
    Given steering at entries of dar and arusha with client blocks
    When dar is drained and 5 minutes of steering pass
    Then what the running entry tells gives a starting entry the same shares
    And the status of the running entry reports these shares to operators
