Feature: health and warm-up of servers
  A server goes bad: it refuses, fails or crawls, while its reports say that
  all is well. Requests show it. But when the cause is elsewhere and all seem
  to fail, a pool that is emptied refuses what could still be served.

  Background:
    Given health of 6 servers of 3 slots, warm-up 60 s

  Scenario: three failures in a row take a server out, then it is tried again
    When server "s0" fails 3 times
    Then the slots of "s0" are 0 and all others 3
    When 3 s pass for health
    Then the slots of "s0" are 1 and all others 3
    When server "s0" answers once
    Then the slots of "s0" are 1 and all others 3
    When 60 s pass for health
    Then the slots of "s0" are 3 and all others 3

  Scenario: however many fail, a third is taken out at most
    When every server fails 5 times
    Then 2 servers have no slots

  Scenario: a server that crawls gets one request at a time
    When every server answers 12 times in 0.05 s, but "s0" in 1 s
    Then the slots of "s0" are 1 and all others 3

  Scenario: a server that refuses gets one at a time for a moment
    When server "s0" refuses 2 times
    Then the slots of "s0" are 1 and all others 3
    When 2 s pass for health
    Then the slots of "s0" are 3 and all others 3

  Scenario: a new life begins cold and warms up
    When 10 s pass for health
    And server "s0" starts anew
    Then the slots of "s0" are 1 and all others 3
    When 45 s pass for health
    Then the slots of "s0" are 2 and all others 3
    When 15 s pass for health
    Then the slots of "s0" are 3 and all others 3

  Scenario: a server that was idle for long is cold
    When 400 s pass for health
    And server "s0" is used
    Then the slots of "s0" are 1 and all others 3
