Feature: pacing of links between regions
  Franchisees upload shelf photographs until the link between two regions is
  full. A stock check then stands behind megabytes of them in the link's queue,
  and a customer waits at the counter though every server is idle.

  Scenario: uploads fill a link of 4,000 Mbit/s
    Then without pacing of links the 99th percentile of checks is above 50 ms
    And with pacing of links it is under 2 ms and uploads get 3000 Mbit/s at least
    And with pacing of links and an entry lost midway all of that holds

  Scenario: bulk waits, what is interactive never does
    Given a link with room for 1000000 bytes a second
    When 500000 bytes of bulk are taken from the link
    Then 1000 more bytes of bulk wait between 0.4 and 0.6 s
    And 1000 interactive bytes wait 0 s
    And many interactive bytes bar bulk for 1.1 s at most
