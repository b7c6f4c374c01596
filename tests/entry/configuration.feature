Feature: an entry follows the tables of control
  A request must use the tables of one revision, also when a change is accepted
  while it runs; the next request must use the new tables. When the only
  reachable control instance is cut off from its majority, an entry must not
  start by that instance's unconfirmed revision, and a running entry must report
  how old its revision is.

  Scenario: a change while a request is running
    Given a configured entry and a publisher that a majority confirms
    When a revision is published while a request holds its snapshot
    Then the request's snapshot is the old revision and the next one the new

  Scenario: no majority confirms the publisher
    Given a configured entry and a publisher that no majority confirms
    When 60 s pass for the configured entry
    Then the configured entry has no revision

  Scenario: the publisher loses its majority
    Given a configured entry and a publisher that a majority confirms
    When no majority confirms the publisher for 300 s
    Then the configured entry reports an age of 300 s and keeps its revision

  Scenario: a poll with an invalid waiting time
    Given a configured entry and a publisher that a majority confirms
    When a publisher is polled with infinite, NaN, negative and huge waits
    Then each poll is answered within the publisher's longest wait

  Scenario: one of two entries loses its connection to control
    Given two configured entries, one of which reaches control through a relay
    When the relay is cut and a revision is published
    Then the configured entry behind the relay gets it from the other entry

  Scenario: a control instance cannot confirm its revision
    Given a publisher whose confirming reads never end
    When the publisher is polled for a confirmed answer
    Then it gives an unconfirmed answer before the poll's time-out

  # Guards against entries that pass their memory limit and are killed.
  Scenario: requests that last while a large configuration changes often
    Given a configured entry and a publisher that a majority confirms
    When 12600 routes are edited 20 times and a request keeps each revision
    Then the entry and the publisher used less than 100 MB more at any time
