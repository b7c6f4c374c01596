Feature: the steps of a planned stop
  Operators replace an entry. A caller that cached a look-up would be turned
  away if it ended at once, and an upload cut; nobody should wait longer.

  Scenario: nothing is closed before the last look-up has expired
    Given a stop asked at 10 with 5 s of look-ups, 1 s to spread, 100 s at most
    Then the stop at 15.9 with 0 connections is leaving
    And the stop at 16.0 with 1 connections is draining
    And the stop at 90.0 with 1 connections is draining
    And the stop at 91.0 with 0 connections is done
    And the stop has cut 0

  Scenario: the longest time ends it
    Given a stop asked at 10 with 5 s of look-ups, 1 s to spread, 100 s at most
    Then the stop at 109.0 with 2 connections is draining
    And the stop at 110.0 with 2 connections is done
    And the stop has cut 2
