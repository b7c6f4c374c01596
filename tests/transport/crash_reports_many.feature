Feature: hundreds of instances share reports of requests that crash servers

  # Guards against entries that forward a request that crashed servers behind
  # other entries.
  Scenario Outline: crashes observed at <seen> of <count> instances
    Given <count> instances that lose <lost> of the datagrams, seeds 1 to <seeds>
    When 3 servers crash under one request, observed at <seen>
    Then 2.5 s later all instances block the request

    Examples:
      | count | lost | seen            | seeds |
      | 194   | 0.01 | three instances | 1     |
      | 194   | 0.3  | three instances | 1     |
      | 440   | 0.3  | three instances | 1     |

  # Guards against excessive traffic: a request that one crash interrupted is
  # reported to a few instances only.
  Scenario: requests that one crash interrupted cause little traffic
    Given 194 instances that lose 0.01 of the datagrams, seeds 1 to 1
    When 100 requests are interrupted by a crash each
    Then reports of them take at most 100 KB in 20 s
