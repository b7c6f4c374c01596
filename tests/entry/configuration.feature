Feature: an entry's tables follow control, one revision to a request
  A change is accepted while a long upload runs. The upload must end by the
  tables that it began with; the next request must use the new ones. When the
  only control instance left is cut off from its majority, a new entry must
  not start from its word, and one that runs must say how old its word is.

  Scenario: a change while a request is under way
    Given a configured entry and a publisher that a majority confirms
    When a revision is published while a request holds its snapshot
    Then the request's snapshot is the old revision and the next one the new

  Scenario: nothing confirms the publisher
    Given a configured entry and a publisher that no majority confirms
    When 60 s pass for the configured entry
    Then the configured entry has no revision

  Scenario: the publisher loses its majority
    Given a configured entry and a publisher that a majority confirms
    When the publisher is not confirmed any more for 300 s
    Then the configured entry says its word is 300 s old and serves by it

  Scenario: a question with a senseless wait
    Given a configured entry and a publisher that a majority confirms
    When a publisher is asked to wait for ever, for no number and below zero
    Then each publisher's answer came within its longest wait
