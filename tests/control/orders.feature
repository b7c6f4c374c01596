Feature: orders on the replicated state
  The acknowledgement of an edit is lost. The operator sends the same edit
  again, but another edit is already based on it. If the repeated edit were
  refused, the operator would conclude that it is not in force. Of two
  concurrent edits of one version, one is accepted.

  Scenario: an order sent again is accepted again, also after later orders
    Given a single member that executes orders
    When order "one" puts version 2 on base 0
    And order "two" puts version 5 on base 2
    And order "one" puts version 2 on base 0
    Then the orders' results are Accepted, Accepted, Accepted
    And version 5 is in force after the orders

  Scenario: one of two concurrent orders on one base is accepted
    Given a single member that executes orders
    When orders "one" and "two" put versions 2 and 3 on base 0 at once
    Then one of the two is accepted and the other is a conflict

  Scenario: an invalid order changes nothing, also if sent again
    Given a single member that executes orders
    When order "one" puts version 2 on base 0
    And order "bad" puts version 2 on base 2
    And order "bad" puts version 2 on base 2
    Then the orders' results are Accepted, Rejected, Rejected
    And version 2 is in force after the orders

  Scenario: an evacuation ordered twice, ended, and ordered again
    Given a single member that executes orders
    When "dar-1" is evacuated by order, twice, ended and evacuated again
    Then the orders' results are Accepted, Accepted, Accepted, Accepted
    And the orders leave "dar-1" evacuated

  Scenario: without a majority an order is reported as unsettled
    Given a member that executes orders and whose peers are lost
    When order "one" puts version 2 on base 0
    Then the orders' results are Unsettled

  # Guards against: orders redirected to the same instance for ever.
  Scenario: an instance that lost its disk redirects no order to itself
    Given an instance with an empty disk at the address of voter 1 of 3
    When order "one" puts version 2 on base 0
    Then the order is redirected to voter 2
