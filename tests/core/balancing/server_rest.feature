Feature: the choice of servers while some want no requests
  Six of twenty servers turn away all requests for seconds and ask for rest.
  They report no load, so each of their objects would be sent to them again.

  Background:
    Given a chooser with 4 servers

  # Guards against a time without requests that a later answer cuts short.
  Scenario: the longest time that a server asked for counts
    When a request to server "s0" is turned away for 3 s
    And a request to server "s0" is turned away for 0 s
    And 0.5 s pass for the chooser
    Then the chooser sends none of 40 requests to "s0"
    When 2.6 s pass for the chooser
    Then the chooser sends some of 40 requests to "s0"

  # Guards against a second server that wants no requests either.
  Scenario: a request that was turned away is not sent to a resting server
    When a request to server "s0" is turned away for 3 s
    And a request to server "s1" is turned away for 3 s
    And 0.2 s pass for the chooser
    Then the chooser sends none of 40 requests to "s0"
    And the chooser sends none of 40 requests to "s1"

  # Guards against callers that are told to come back before a server is.
  Scenario: all servers rest
    When requests to all servers are turned away for 3, 2, 4 and 5 s
    And 0.5 s pass for the chooser
    Then the chooser refuses a request and says 1.5 s

  Scenario: a server that restarted has asked for nothing
    When a request to server "s0" is turned away for 60 s
    And backend server "s0" restarts
    Then the chooser sends some of 40 requests to "s0"

  # Guards against a server that leaves and is used again once it reports no load.
  Scenario: a server that leaves is not used until it restarts
    When an answer of server "s0" says that it leaves
    And 100 s pass for the chooser
    Then the chooser sends none of 40 requests to "s0"
    When backend server "s0" restarts
    Then the chooser sends some of 40 requests to "s0"
