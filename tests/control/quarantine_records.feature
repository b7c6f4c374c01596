Feature: what is held back outlives a loss of power of all instances

  # Guards against relearning by more crashes what was known before.
  Scenario Outline: all instances lose power <when> after the last crash
    Given 13 instances of which 0.01 of the datagrams are lost, seeds 1 to 5
    And 3 of the instances have disks
    When 3 servers crash under one request, seen at one instance
    And <wait> s later all instances lose power and start anew
    Then 2.5 s later all of them hold it back

    Examples:
      | when          | wait |
      | just          | 2    |
      | half a minute | 30   |

  # Guards against a quarantine that each restart makes longer.
  Scenario: the time of a quarantine goes on while the power is off
    Given a quarantine record that was written 100 s ago, 20 s after a crash
    When the record is read
    Then the crash is 120 s ago

  # Guards against control instances that do not start for a lost quarantine.
  Scenario: a quarantine record that cannot be read is left out
    Given a quarantine record that was written 100 s ago, 20 s after a crash
    When the record rots
    And the record is read
    Then there is nothing in it
