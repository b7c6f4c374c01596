Feature: what the end of a caller's connection takes along
  Guards against requests that are lost at the end of a connection, and against
  a log that does not name them.

  Scenario: the end of a stop names what it cuts
    When a stop of 0.4 s ends during the pipeline: /safe/a/9000/2 /safe/b/9000/2
    Then the log has 1 connection that ended by stop-over
    And its line has unanswered=2 answer_bytes=0 reset=False

  Scenario: a caller that leaves outside of a stop is no line of the log
    When a caller leaves during the pipeline: /safe/a/9000/2 /safe/b/9000/2
    Then the log has 0 connections that ended by caller-closed
