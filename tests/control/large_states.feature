Feature: control instances with a large configuration
  A state that grows beyond the largest message between instances was still
  proposed. Each proposer stored its vote for it, and the others could not read
  this vote: no round or read reached a majority again, also after a restart.

  # Guards against: control that answers nothing once the configuration has
  # grown by many routes.
  Scenario: a state that grows to many routes is acknowledged and read
    Given 5 connected control instances
    When the state grows by orders of 4000 routes each to 20000 routes
    Then each order is accepted
    And each instance reads 20000 routes

  Scenario: an instance that starts with an empty disk gets a large state
    Given 5 connected control instances
    When the state grows by orders of 5000 routes each to 20000 routes
    And one of the instances starts again with an empty disk
    Then each instance reads 20000 routes
    And all instances vote

  # Guards against: a vote that no other instance can read.
  Scenario: a state above the limit is refused before it is proposed
    Given 5 connected control instances
    When the state grows by orders of 8000 routes each to 48000 routes
    Then the last orders are refused with the size and the limit
    And each instance reads the routes of the accepted orders
    And an evacuation is accepted

  Scenario: a state is refused that a member with an older program can't read
    Given 5 connected control instances, one with an older program
    When the state grows by orders of 4000 routes each to 20000 routes
    Then the last orders are refused with the size and the limit
    And each instance reads the routes of the accepted orders

  # Guards against: votes on disk that earlier programs left unreadable.
  Scenario: instances start with votes for large states that none could read
    Given 5 control instances that hold votes for different large states
    When the instances have run for 15 s
    Then all instances read the same state

  Scenario: a state that is too large may be reduced
    Given a state of 48000 routes in force
    Then a state of 47000 routes is allowed after it
    And a state of 48001 routes is not

  Scenario: entries get the state without the rows of the document
    Given a state of 100 routes in force
    When its rows are removed for entries
    Then the result is the canonical encoding of the state without rows

  # Guards against: rounds that carry a state which all members hold, end by
  # their timeout and leave the members without a common ballot for good.
  Scenario: instances that hold one large state under several ballots agree
    Given 5 connected control instances
    When each of them holds 12000 routes under another ballot
    And each link needs 0.5 s for that state
    Then each instance reads 12000 routes within 10 s

  # Guards against: a peer that is sent a digest of a value that it lacks.
  Scenario: an instance without the large state gets it whole
    Given 5 connected control instances
    When 3 of them hold 12000 routes under another ballot
    Then each instance reads 12000 routes within 10 s

  Scenario: an instance with an older program gets large states whole
    Given 5 connected control instances, one with an older program
    When 3 of them hold 12000 routes under another ballot
    Then each instance reads 12000 routes within 10 s

  # Guards against: rounds that end by their timeout while they are carried out,
  # and are begun again for ever.
  Scenario: an edit of a large state over slow links
    Given 5 connected control instances
    When each link needs 1.2 s for a state of 20000 routes
    And an order puts 20000 routes in force, and another 20001
    Then each of the two is accepted within 3 s
