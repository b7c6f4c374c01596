Feature: which requests are held back since servers crashed under them

  # Guards against a request that ends one server after another.
  Scenario Outline: <crashes> servers crash under a request
    Given a quarantine at entry "e1"
    When <crashes> servers crash under request "a"
    Then request "a" <verdict>
    And request "b" may run

    Examples:
      | crashes | verdict      |
      | 1       | may run      |
      | 2       | may run      |
      | 3       | is held back |

  # Guards against counting one crash that many entries saw as many.
  Scenario: one life of a server counts once
    Given a quarantine at entry "e1"
    When server 1 crashes under request "a" 5 times
    Then request "a" may run

  # Guards against holding back requests that crashes interrupted by chance.
  Scenario Outline: a request that is answered <when> is not held back
    Given a quarantine at entry "e1"
    When request "a" is answered
    And <wait> s go by
    And 3 servers crash under request "a"
    Then request "a" <verdict>

    Examples:
      | when             | wait | verdict      |
      | just before      | 1    | may run      |
      | long before      | 11   | is held back |

  # Guards against a sound request that is held back for good.
  Scenario: answers between crashes clear a request
    Given a quarantine at entry "e1"
    When 2 servers crash under request "a"
    And request "a" is answered
    And 11 s go by
    And 2 servers crash under request "a"
    Then request "a" may run

  # Guards against trials by all entries at once, and without end.
  Scenario: one entry alone tries a request again, twice
    Given quarantines at 5 entries that know the same
    When 3 servers crash under request "a"
    And 59 s go by
    Then no entry sends request "a"
    When 2 s go by
    Then one entry sends request "a", once
    When a server crashes under that trial
    And 599 s go by
    Then no entry sends request "a"
    When 2 s go by
    Then one entry sends request "a", once
    When a server crashes under that trial
    And 80000 s go by
    Then no entry sends request "a"

  # Guards against servers that were mended and are never tried again.
  Scenario: a trial that is answered ends the quarantine
    Given quarantines at 5 entries that know the same
    When 3 servers crash under request "a"
    And 61 s go by
    Then one entry sends request "a", once
    When that trial is answered
    Then all entries send request "a"

  # Guards against a trial whose outcome is never known.
  Scenario: a trial without an end is made again
    Given quarantines at 5 entries that know the same
    When 3 servers crash under request "a"
    And 61 s go by
    Then one entry sends request "a", once
    When 31 s go by
    Then one entry sends request "a", once

  # Guards against a trial that is held back by itself.
  Scenario: a trial that is asked for again is the same one
    Given quarantines at 5 entries that know the same
    When 3 servers crash under request "a"
    And 61 s go by
    Then one entry sends request "a", once, also when that attempt asks again

  # Guards against a table that grows with every crash.
  Scenario: what is known is bounded and is forgotten
    Given a quarantine at entry "e1"
    When 3 servers crash under request "a"
    And one server crashes under 5000 other requests
    Then at most 2000 requests are known
    And request "a" is held back
    When 601 s go by
    And what is old is forgotten
    Then at most 1 requests are known

  # Guards against instances that never agree on what they know.
  Scenario: reports in any order, lost or doubled, add up to the same
    Given 200 random histories at 4 instances
    Then all agree once each has heard of all
