Feature: the queue for slots
  A payment and a catalogue page wait for a slot. If the page came first and
  went first, the customer at the counter would wait behind a browser; and one
  that cannot be served in time is better told so now than later.

  Scenario: the lower priority number goes first, then the one that ends first
    Given a queue where "page" waits at priority 4 until 5 s
    And "late payment" waits at priority 1 until 9 s
    And "payment" waits at priority 1 until 4 s
    Then the queue serves "payment", "late payment", "page"

  Scenario: what would wait too long is not let in
    Given a queue where a slot came free each 0.5 s
    And "one" waits at priority 1 until 20 s
    Then "two" at priority 1 within 0.9 s is not let in
    But "two" at priority 0 within 0.9 s is let in

  Scenario: when no slot comes free any more the wait grows
    Given a queue where a slot came free each 0.01 s
    When 3 s pass in the queue without a free slot
    Then "one" at priority 1 within 1 s is not let in

  Scenario: what has waited too long is given up
    Given a queue where "page" waits at priority 4 until 5 s
    Then at 5 s "page" has waited too long
