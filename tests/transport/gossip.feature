Feature: gossip continues after a datagram that cannot be processed

  # Guards against one datagram that ends the gossip task of each instance that
  # receives it.
  Scenario Outline: an instance sends <what>
    Given 2 instances that gossip on loopback
    When another instance sends them <what>
    And a server announces itself to one of them
    Then the other one has a record of the server within 5 s
    And neither gossip task has ended

    Examples:
      | what                             |
      | an invalid address               |
      | an address without a port        |
      | a datagram whose receipt fails   |
