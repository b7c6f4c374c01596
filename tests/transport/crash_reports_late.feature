Feature: instances receive missed reports of requests that crash servers

  # Guards against a restarted entry that has no reports yet.
  Scenario: a restarted instance blocks the requests that the others block
    Given 13 instances that lose 0.3 of the datagrams, seeds 1 to 20
    When 3 servers crash under one request, observed at one instance
    And 30 s later one instance restarts
    Then 2.5 s later all instances block the request

  # Guards against an entry that was partitioned when the others got reports.
  Scenario Outline: an instance receives reports after a partition
    Given 13 instances that lose <lost> of the datagrams, seeds 1 to 20
    When one instance is partitioned from the others
    And 3 servers crash under one request, observed at one instance
    And 30 s later the partition ends
    Then <soon> s later all instances block the request

    Examples:
      | lost | soon |
      | 0.01 | 2.5  |
      | 0.3  | 10   |
