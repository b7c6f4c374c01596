Feature: an entry's part in a shift
  A caller holds an old look-up, or its entry stops, and it turns to an entry
  of another region. Were its traffic at home wherever its entry is, the cached
  answers would move it between regions outside of any cap, a TTL late.

  Scenario: a caller is steered alike by whichever entry it asks
    Given steering at entries of dar and arusha that know client blocks
    When steering hears of a drain of dar and 5 minutes pass
    Then both entries steer 500 requests of a dar caller alike, half of them away
    And without client blocks the entries would steer them apart

  Scenario: a starting entry takes over the shares of a running one
    Given steering at entries of dar and arusha that know client blocks
    When steering hears of a drain of dar and 5 minutes pass
    Then a status read by a starting entry gives it the same shares
