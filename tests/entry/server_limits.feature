Feature: servers that limit the requests a second from all entries together

  # Guards against entries that ignore a server's limit, or keep it each for itself.
  Scenario Outline: entries together keep the limit of a server in need
    Given <entries> running entries over 4 servers
    When server 0 begins to limit its requests to <rate> a second after 1 s
    And callers send each entry 20 requests a second for 10 s
    Then server 0 got no more than its limit tolerates in any 4 s
    And all requests were answered
    And server 0 got more than 4 requests before its limit

    Examples:
      | entries | rate |
      | 1       | 2    |
      | 3       | 2    |
      | 3       | 0.5  |
