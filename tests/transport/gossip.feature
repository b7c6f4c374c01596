Feature: gossip that outlives what it cannot handle

  # Guards against one word that ends every instance that it is told to.
  Scenario Outline: an instance tells <what>
    Given 2 instances that gossip on loopback
    When another one tells them <what>
    And a server announces itself to one of them
    Then the other one knows the server within 5 s
    And the task of neither has ended

    Examples:
      | what                               |
      | an address that is none            |
      | an address without a port          |
      | what the receiver fails to take in |
