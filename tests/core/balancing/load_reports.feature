Feature: many small entries know which servers are busy
  Hundreds of entries send each server a request now and then. By its own
  answers alone, an entry takes an object's first server for idle while dozens
  of others fill its queue.

  Scenario: a server that others found busy gives way to the second
    Given an entry that has met 4 servers of 5 slots
    When another entry tells that the first server of "role" has 12 requests
    Then a request for "role" goes to its second server

  Scenario Outline: a report that is <age> s old <effect>
    Given an entry that has met 4 servers of 5 slots
    When another entry tells that both servers of "role" have 17 requests
    And <age> s pass for the entry that was told
    Then a request for "role" is <outcome>

    Examples:
      | age | effect                   | outcome |
      | 0.3 | refuses what is hopeless | refused |
      | 0.7 | refuses nothing          | sent    |

  Scenario: an answer of its own is newer than what was told before
    Given an entry that has met 4 servers of 5 slots
    When another entry tells that the first server of "role" has 12 requests
    And the first server of "role" then answers here that it has 1 request
    Then a request for "role" goes to its first server

  Scenario: only busy servers are told of, and once
    Given an entry that has met 4 servers of 5 slots
    When the first server of "role" then answers here that it has 1 request
    Then the entry has nothing to tell
    When the first server of "role" then answers here that it has 9 requests
    Then the entry tells once of 9 requests

  Scenario: what an entry sends does not grow with the failure domain
    Then of 22 entries each tells 8 others, and is told by them

  Scenario: sixty entries under a burst while a failure domain is empty
    The pattern: a service with 190 servers and 76 entries of 14 requests a
    second each, 1.7 times as many callers for 5 s, servers of a domain out.

    When the burst is played with and without reports of loads
    Then at least a fifth fewer answers are late with them
