Feature: the phases of a planned stop
  Guards against an entry that stops too early: callers with a cached look-up
  would be rejected and uploads aborted. It must not stop later than necessary
  either.

  Scenario: no connection is closed before the last look-up has expired
    Given a stop begun at 10: 5 s of look-ups, 1 s to propagate, 100 s at most
    Then the stop at 15.9 with 0 connections is leaving
    And the stop at 16.0 with 1 connections is draining
    And the stop at 90.0 with 1 connections is draining
    And the stop at 91.0 with 0 connections is done
    And the stop has cut 0 requests

  Scenario: the stop is forced at its longest duration
    Given a stop begun at 10: 5 s of look-ups, 1 s to propagate, 100 s at most
    Then the stop at 109.0 with 2 connections is draining
    And the stop at 110.0 with 2 connections is done
    And the stop has cut 2 requests
