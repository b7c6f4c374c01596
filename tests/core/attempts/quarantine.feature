Feature: quarantine of requests under which servers crash

  # Guards against a request that crashes one server after another.
  Scenario Outline: <crashes> servers crash under a request
    Given a quarantine at entry "e1"
    When <crashes> servers crash under request "a"
    Then request "a" <verdict>
    And request "b" may run

    Examples:
      | crashes | verdict        |
      | 1       | may run        |
      | 2       | may run        |
      | 3       | is quarantined |

  # Guards against counting a crash several times that several entries report.
  Scenario: one server incarnation counts once
    Given a quarantine at entry "e1"
    When server 1 crashes under request "a" 5 times
    Then request "a" may run

  # Guards against quarantining requests that crashes interrupted by chance.
  Scenario Outline: a request that was answered <when> <verdict>
    Given a quarantine at entry "e1"
    When request "a" is answered
    And <wait> s pass for the quarantine
    And 3 servers crash under request "a"
    Then request "a" <verdict>

    Examples:
      | when        | wait | verdict        |
      | just before | 1    | may run        |
      | long before | 11   | is quarantined |

  # Guards against a permanent quarantine of a request that causes no crashes.
  Scenario: answers between crashes clear a request
    Given a quarantine at entry "e1"
    When 2 servers crash under request "a"
    And request "a" is answered
    And 11 s pass for the quarantine
    And 2 servers crash under request "a"
    Then request "a" may run

  # Guards against trials by all entries at once, and against unlimited trials.
  Scenario: only one entry tries a request again, and at most twice
    Given quarantines at 5 entries that exchange reports
    When 3 servers crash under request "a"
    And 59 s pass for the quarantine
    Then no entry sends request "a"
    When 2 s pass for the quarantine
    Then one entry sends request "a", once
    When a server crashes under that trial
    And 599 s pass for the quarantine
    Then no entry sends request "a"
    When 2 s pass for the quarantine
    Then one entry sends request "a", once
    When a server crashes under that trial
    And 80000 s pass for the quarantine
    Then no entry sends request "a"

  # Guards against a quarantine that outlasts the repair of the servers.
  Scenario: a trial that is answered ends the quarantine
    Given quarantines at 5 entries that exchange reports
    When 3 servers crash under request "a"
    And 61 s pass for the quarantine
    Then one entry sends request "a", once
    When that trial is answered
    Then all entries send request "a"

  # Guards against a trial whose outcome is never reported.
  Scenario: a trial without an outcome is repeated
    Given quarantines at 5 entries that exchange reports
    When 3 servers crash under request "a"
    And 61 s pass for the quarantine
    Then one entry sends request "a", once
    When 31 s pass for the quarantine
    Then one entry sends request "a", once

  # Guards against a trial that is refused since it has already begun.
  Scenario: a repeated call for a trial is the same trial
    Given quarantines at 5 entries that exchange reports
    When 3 servers crash under request "a"
    And 61 s pass for the quarantine
    Then one entry sends request "a", once, also when that attempt asks again

  # Guards against a table that grows with every crash.
  Scenario: the number of records is bounded, and records expire
    Given a quarantine at entry "e1"
    When 3 servers crash under request "a"
    And one server crashes under 5000 other requests
    Then at most 2000 requests are recorded
    And request "a" is quarantined
    When 601 s pass for the quarantine
    And expired records are dropped
    Then at most 1 requests are recorded

  # Guards against instances that never agree.
  Scenario: reports in any order, lost or duplicated, give the same result
    Given 200 random histories at 4 instances
    Then all agree once they have exchanged all reports
