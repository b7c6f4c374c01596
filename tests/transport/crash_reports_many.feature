Feature: hundreds of instances learn which requests crash servers

  # Guards against entries that send on what crashed servers behind others.
  Scenario Outline: crashes seen at <seen> of <count> instances
    Given <count> instances of which <lost> of the datagrams are lost, seeds 1 to <seeds>
    When 3 servers crash under one request, seen at <seen>
    Then 2.5 s later all of them hold it back

    Examples:
      | count | lost | seen           | seeds |
      | 194   | 0.01 | three of them  | 1     |
      | 194   | 0.3  | three of them  | 1     |
      | 440   | 0.3  | three of them  | 1     |

  # Guards against chatter: what one crash interrupts is told to few.
  Scenario: requests that one crash interrupted cost little
    Given 194 instances of which 0.01 of the datagrams are lost, seeds 1 to 1
    When 100 requests are interrupted by a crash each
    Then reports of them take at most 100 KB in 20 s
