Feature: UDP sockets that send and receive without task switches
  A datagram that the kernel does not accept must not be lost or overtake
  others, and the address that another instance announced must not stop the
  process.

  Scenario: datagrams arrive, also many at once
    Given two datagram sockets
    When 200 datagrams are sent from one to the other
    Then they are received in order

  Scenario: datagrams that the kernel does not accept are sent later, in order
    Given two datagram sockets
    And a kernel that accepts no datagram for 0.1 s
    When 20 datagrams are sent from one to the other
    Then they are received in order

  Scenario: a bounded number of datagrams waits
    Given two datagram sockets
    And a kernel that accepts no datagram for 0.1 s
    When 5000 datagrams are sent from one to the other
    Then between 1 and 4096 datagrams are received in order, the rest is logged

  Scenario Outline: an invalid address is logged and looked up nowhere
    Given two datagram sockets
    When a datagram is sent to "<address>"
    Then no error is raised and other datagrams are still sent

    Examples:
      | address          |
      | shop.example:53  |
      | 127.0.0.1:99999  |
      | 127.0.0.1:-1     |
      | 127.0.0.1:port   |
      | nothing          |
      |                  |

  Scenario: the address is in use
    Given two datagram sockets
    When a third socket is bound to the address of one of them
    Then it fails, naming the address
