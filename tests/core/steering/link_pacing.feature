Feature: pacing of links between regions
  Uploads fill the link between two regions. Small requests then wait behind
  megabytes of uploads in the link's queue, although all servers are idle.

  Scenario: uploads fill a link of 4,000 Mbit/s
    Then without pacing of links the 99th percentile of small requests is above 50 ms
    And with pacing of links it is under 2 ms and uploads get 3000 Mbit/s at least
    And with pacing of links and an entry lost midway both bounds hold

  Scenario: bulk traffic waits, interactive traffic never waits
    Given a link with a rate of 1000000 bytes a second
    When 500000 bytes of bulk are reserved on the link
    Then 1000 more bytes of bulk wait between 0.4 and 0.6 s
    And 1000 interactive bytes wait 0 s
    And many interactive bytes delay bulk by 1.1 s at most
