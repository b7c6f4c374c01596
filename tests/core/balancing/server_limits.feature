Feature: limits of the requests a second that servers accept from all entries
  Requests for an object arrive at any of many entries, at most a few a second
  at each, and entries learn of a limit from their own answers and from reports
  of others, which may be lost.

  # Guards against a limit exceeded by the sum of entries that each keep it.
  Scenario Outline: many entries keep a limit with lost reports, restarts and a burst
    Given <entries> entries and 20 servers, which get <demand> requests a second
    And 3 of the servers limit their requests to <rate> a second from 2 s on
    And 20 % of the reports are lost, and a quarter of the entries restart at 9 s
    And the demand is 4 times as high from 12 s to 16 s
    When the fleet runs for 24 s with seed <seed>
    Then no limited server got more than its limit tolerates in any 4 s
    And each limited server got some requests after 16 s

    Examples:
      | entries | demand | rate | seed |
      | 1       | 100    | 4.3  | 1    |
      | 8       | 280    | 4.3  | 1    |
      | 8       | 280    | 4.3  | 2    |
      | 8       | 280    | 1    | 3    |
      | 12      | 280    | 0    | 4    |
      | 84      | 300    | 3    | 5    |
      | 84      | 300    | 0.9  | 6    |

  # Guards against a check that passes entries that each use the whole limit.
  Scenario: entries that each keep the limit for themselves are detected
    Given entries that each use the whole limit of a server
    And 8 entries and 20 servers, which get 280 requests a second
    And 3 of the servers limit their requests to 2 a second from 2 s on
    When the fleet runs for 16 s with seed 1
    Then some limited server got more than its limit tolerates in 4 s

  # Guards against a limit that is never lifted at entries that may not send.
  Scenario Outline: entries use a server again once it names no limit any more
    Given <entries> entries and 20 servers, which get 280 requests a second
    And 3 of the servers limit their requests to <rate> a second from 2 s on
    And the limits end at 8 s
    When the fleet runs for 50 s with seed 1
    Then each limited server got at least half of a mean server's requests after 40 s

    Examples:
      | entries | rate |
      | 8       | 4.3  |
      | 8       | 0    |
      | 84      | 0.9  |

  # Guards against an answer that was written before the limit and ends it.
  Scenario: an answer to an earlier request does not end a limit
    Given an entry that knows a limit of 5 a second since 10 s
    When a request sent at 9.9 s is answered at 10.1 s without a limit
    Then the entry knows a limit of 5 a second
    When a request sent at 10.2 s is answered at 10.3 s without a limit
    Then the entry knows no limit

  # Guards against an old report that brings back a limit, or ends a newer one.
  Scenario Outline: the newest observation of all entries decides
    Given an entry that knows a limit of 5 a second since 10 s
    When another entry reports at 11 s a limit of "<reported>" observed <age> s before
    Then the entry knows <known>

    Examples:
      | reported | age | known                   |
      | 7        | 0.5 | a limit of 7 a second   |
      | 7        | 2   | a limit of 5 a second   |
      | none     | 0.5 | no limit                |
      | none     | 2   | a limit of 5 a second   |

  # Guards against all entries trying a server in need at the same moment.
  Scenario: entries drop a limit that nothing confirms at different times
    Given 84 entries that know a limit of 5 a second since 10 s
    Then none of them drops it before 25 s, all of them by 40 s
    And at most 21 of them drop it within any second
