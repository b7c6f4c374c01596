Feature: health and warm-up of servers
  A faulty server refuses requests, fails or is slow, although its load reports
  look normal; the results of requests reveal it. If the cause is elsewhere and
  all servers seem to fail, the pool must not be emptied, because an empty pool
  refuses requests that could still be served.

  Background:
    Given health of 6 servers of 3 slots, warm-up 60 s

  Scenario: three consecutive failures eject a server, then it is tried again
    When server "s0" fails 3 times
    Then the slots of "s0" are 0 and all others 3
    When 3 s pass in the health tracker
    Then the slots of "s0" are 1 and all others 3
    When server "s0" answers once
    Then the slots of "s0" are 1 and all others 3
    When 60 s pass in the health tracker
    Then the slots of "s0" are 3 and all others 3

  Scenario: at most a third of the servers is ejected, however many fail
    When every server fails 5 times
    Then 2 servers have no slots

  Scenario: a slow server gets one request at a time
    When every server answers 12 times in 0.05 s, but "s0" in 1 s
    Then the slots of "s0" are 1 and all others 3

  Scenario: a server that refuses gets one request at a time for a short time
    When server "s0" refuses 2 times
    Then the slots of "s0" are 1 and all others 3
    When 2 s pass in the health tracker
    Then the slots of "s0" are 3 and all others 3

  Scenario: a new incarnation begins cold and warms up
    When 10 s pass in the health tracker
    And server "s0" restarts
    Then the slots of "s0" are 1 and all others 3
    When 45 s pass in the health tracker
    Then the slots of "s0" are 2 and all others 3
    When 15 s pass in the health tracker
    Then the slots of "s0" are 3 and all others 3

  Scenario: a server that was idle for a long time is cold
    When 400 s pass in the health tracker
    And a request is sent to server "s0"
    Then the slots of "s0" are 1 and all others 3

  # Guards against slots granted at a server that asked for no requests.
  Scenario: a server that asks for a time without requests has no slots
    When server "s0" refuses a request and asks for 3 s without any
    And server "s0" refuses 1 times
    Then the slots of "s0" are 0 and all others 3
    When 4 s pass in the health tracker
    Then the slots of "s0" are 3 and all others 3

  # Guards against slots granted at a server that says it leaves.
  Scenario: a server that leaves has no slots until it restarts
    When server "s0" answers and says that it leaves
    And 100 s pass in the health tracker
    Then the slots of "s0" are 0 and all others 3
    When server "s0" restarts
    Then the slots of "s0" are 1 and all others 3
