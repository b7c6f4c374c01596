Feature: limits of organisations that all entries keep together
  An organisation's requests arrive at any of many entries, a few at each. If
  each entry had a fixed part of the limit, it would refuse requests far below
  the limit; if entries trusted old answers, the limit would be exceeded.

  Scenario Outline: the limit holds while entries are killed, cut off and suspended
    When 84 entries share the limits of 88 organisations, with faults and seed <seed>
    Then no window exceeds its bound

    Examples:
      | seed |
      | 1    |
      | 6    |

  Scenario: hardly any request below the limit is refused
    When 84 entries share the limits of 88 organisations, with seed 1
    Then no window exceeds its bound
    And at most 0.5 % of the requests are refused below the limit

  Scenario: the limit holds while 60 % of the entries are cut off under a burst
    When 84 entries share the limits of 88 organisations, 60 % of them cut off
    Then no window exceeds its bound

  Scenario: entries that admit all requests without an answer are detected
    Given entries that admit all requests while they have no recent answer
    When 84 entries share the limits of 88 organisations, 60 % of them cut off
    Then some window exceeds its bound

  Scenario: coordinators with a part of the reports use a part of the limits
    Two entries take themselves for the coordinator, and half of the entries
    report to each. Together they hand out no more than the limit.
    Given a limit of 10 requests a second, and reports of 10 entries
    When 5 of them report 100 asked requests each to one coordinator, 5 to another
    Then both together allow at most 50 requests

  Scenario Outline: what an entry admitted counts after it <event>
    One entry used the whole limit. Another must not use a part of it again
    within the window, though the first one's reports are gone.
    Given a limit of 10 requests a second, and reports of 2 entries
    When the first one admitted 50 requests and then <event>
    Then the other one may send no request within the window

    Examples:
      | event        |
      | falls silent |
      | restarts     |

  Scenario: an answer to a report counts what was admitted since the report
    Given an entry that reported, and then admitted 3 requests
    When the answer to the report allows 4 requests
    Then 1 further request is admitted

  Scenario: an answer from before a suspension does not count
    Given an entry that reported, and then admitted 3 requests
    When the answer comes after a suspension of 10 s and allows 1000 requests
    Then fewer than 3 of 100 further requests are admitted

  Scenario: an entry whose messages were lost returns to the coordinator of the others
    Given entries a, b and c that choose an coordinator
    When the first choice of an entry does not answer 3 reports
    Then its next report goes to another entry
    And within 11 further reports it asks the first choice again

  Scenario: a request that did not run takes nothing
    Given an entry that may admit 1 request
    When a request is admitted and given back
    Then 1 further request is admitted
