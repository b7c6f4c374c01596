Feature: instances share reports of requests that crash servers

  # Guards against entries that forward a request that crashed servers behind
  # other entries.
  Scenario Outline: crashes observed at <seen> of <count> instances
    Given <count> instances that lose <lost> of the datagrams, seeds 1 to <seeds>
    When 3 servers crash under one request, observed at <seen>
    Then 2.5 s later all instances block the request

    Examples:
      | count | lost | seen            | seeds |
      | 13    | 0.01 | one instance    | 10    |
      | 13    | 0.3  | one instance    | 20    |
      | 13    | 0.3  | three instances | 20    |
