Feature: the queue for slots
  Guards against urgent requests that wait behind less urgent ones, and against
  queueing requests that can't be served in time and should be refused at once.

  Scenario: items are served by lower priority number, then by earlier deadline
    Given a queue where "page" waits at priority 4 until 5 s
    And "late payment" waits at priority 1 until 9 s
    And "payment" waits at priority 1 until 4 s
    Then the queue serves "payment", "late payment", "page"

  Scenario: an item that would wait too long is not accepted
    Given a queue with a slot freed every 0.5 s
    And "one" waits at priority 1 until 20 s
    Then "two" at priority 1 within 0.9 s is not accepted
    But "two" at priority 0 within 0.9 s is accepted

  Scenario: the expected wait grows while no slot is freed
    Given a queue with a slot freed every 0.01 s
    When 3 s pass in the queue without a free slot
    Then "one" at priority 1 within 1 s is not accepted

  Scenario: an item whose deadline has passed is removed
    Given a queue where "page" waits at priority 4 until 5 s
    Then at 5 s "page" has expired
