Feature: a failure domain gets requests again after an evacuation
  Servers may become cold while their failure domain is evacuated. Their
  announcement of that may be late or lost. Until it arrives, entries must not
  send them as many requests as warm servers bear.

  Scenario: cold servers of a reopened domain are not overloaded
    Given 11 entries, and 6 servers in each of 2 failure domains that bear 6.8 requests a second while cold
    When one domain is evacuated for 5 s
    And 120 requests a second are placed for 3 s without announcements
    Then in no second did a server of that domain get more than 15 requests
    And all requests found a server
