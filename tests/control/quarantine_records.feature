Feature: the quarantine survives a power failure of all instances

  # Guards against a loss of the reports, after which the request would crash
  # more servers before it is quarantined again.
  Scenario Outline: all instances lose power <when> after the last crash
    Given 13 instances that lose 0.01 of the datagrams, seeds 1 to 5
    And 3 of the instances have disks
    When 3 servers crash under one request, observed at one instance
    And <wait> s later all instances lose power and restart
    Then 2.5 s later all instances block the request

    Examples:
      | when          | wait |
      | just          | 2    |
      | half a minute | 30   |

  # Guards against a quarantine that each restart prolongs.
  Scenario: the age of a crash includes the time without power
    Given a quarantine record that was written 100 s ago, 20 s after a crash
    When the record is read
    Then the crash is 120 s ago

  # Guards against control instances that fail to start on a corrupt record.
  Scenario: a corrupt quarantine record is ignored
    Given a quarantine record that was written 100 s ago, 20 s after a crash
    When the record is corrupted
    And the record is read
    Then no reports are read
