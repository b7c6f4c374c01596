Feature: orders settled on the replicated state
  The acknowledgement of an edit is lost; the operator sends the same edit
  again, while another one has built on it already. Refused, he would believe
  that his routes are not in force. Two edits on one version cross: one wins.

  Scenario: an order sent again is accepted again, also after later ones
    Given a lone member that takes orders
    When order "one" puts version 2 on base 0
    And order "two" puts version 5 on base 2
    And order "one" puts version 2 on base 0
    Then the orders' results are Accepted, Accepted, Accepted
    And version 5 is in force by orders

  Scenario: of two orders at once on one base one is accepted
    Given a lone member that takes orders
    When orders "one" and "two" put versions 2 and 3 on base 0 at once
    Then one of the two was accepted and the other is a conflict

  Scenario: an invalid order changes nothing, sent as often as one likes
    Given a lone member that takes orders
    When order "one" puts version 2 on base 0
    And order "bad" puts version 2 on base 2
    And order "bad" puts version 2 on base 2
    Then the orders' results are Accepted, Rejected, Rejected
    And version 2 is in force by orders

  Scenario: an evacuation asked for twice, ended, and asked for again
    Given a lone member that takes orders
    When "dar-1" is evacuated by order, twice, ended and evacuated again
    Then the orders' results are Accepted, Accepted, Accepted, Accepted
    And the orders leave "dar-1" evacuated

  Scenario: without a majority nothing is accepted, and it is said so
    Given a member that takes orders and whose peers are lost
    When order "one" puts version 2 on base 0
    Then the orders' results are Unsettled
