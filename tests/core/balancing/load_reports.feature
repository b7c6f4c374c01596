Feature: many small entries exchange the loads of busy servers
  With hundreds of entries, each sends a server only few requests. Guards
  against an entry that assumes from its own answers that an object's first
  server is idle while dozens of other entries fill the queue of that server.

  Scenario: a request avoids a server that another entry reports as busy
    Given an entry that has used 4 servers of 5 slots
    When another entry reports 12 requests at the first server of "role"
    Then a request for "role" goes to its second server

  Scenario Outline: a report that is <age> s old <effect>
    Given an entry that has used 4 servers of 5 slots
    When another entry reports 17 requests at both servers of "role"
    And <age> s pass after the report
    Then a request for "role" is <outcome>

    Examples:
      | age | effect                   | outcome |
      | 0.3 | causes a refusal         | refused |
      | 0.7 | causes no refusal        | sent    |

  Scenario: a later answer to the entry itself supersedes the report
    Given an entry that has used 4 servers of 5 slots
    When another entry reports 12 requests at the first server of "role"
    And the first server of "role" then answers with a load of 1 request
    Then a request for "role" goes to its first server

  Scenario: only busy servers are reported, and once
    Given an entry that has used 4 servers of 5 slots
    When the first server of "role" then answers with a load of 1 request
    Then the entry has no load to report
    When the first server of "role" then answers with a load of 9 requests
    Then the entry reports once a load of 9 requests

  Scenario: each entry exchanges reports with a fixed number of other entries
    Then of 22 entries each sends reports to 8 others, and receives theirs

  Scenario: many entries in a burst while a failure domain is evacuated
    190 servers and 76 entries of 14 requests a second each, 1.7 times the
    usual callers for 5 s, and the servers of one failure domain out of service.

    When the burst is emulated with and without load reports
    Then with load reports at least a fifth fewer answers are late
