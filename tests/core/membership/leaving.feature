Feature: servers that leave while instances restart or monitors change
  A server that leaves serves for some more seconds. Instances that have it as
  ready later than that go on sending requests to a server that stops.

  Background:
    Given 48 instances that know each other in 3 regions of 2 domains with 60 servers

  # Guards against dismissals that are lost at an instance without the record.
  Scenario Outline: a server dismissed <delay> s after a restart of <which>
    When <which> restarted
    And <delay> s later a server asks one of them to be removed and falls silent
    Then within 2 s and for 5 s more no instance has it as ready

    Examples:
      | which                 | delay |
      | its monitor           | 0.1   |
      | its monitor           | 0.3   |
      | all control instances | 0.1   |
      | all control instances | 0.3   |

  # Guards against a ready record that wins over the dismissal by its number.
  Scenario Outline: a server dismissed <delay> s after it changed its monitor
    When a server announces itself to another control instance for <delay> s
    And it asks its previous monitor to be removed and falls silent
    Then within 2 s and for 5 s more no instance has it as ready

    Examples:
      | delay |
      | 0.0   |
      | 1.7   |
      | 1.9   |
      | 2.1   |
      | 3.0   |

  # Guards against a delayed announcement that revives a server that left.
  Scenario: a delayed announcement arrives after the server is gone
    When a server asks its monitor to be removed and falls silent
    And 8 s later an announcement that it sent before arrives elsewhere
    Then within 2 s and for 5 s more no instance has it as ready

  # Guards against a leave that a power failure of all instances undoes.
  Scenario: a delayed announcement arrives after all instances lost power
    When a server asks its monitor to be removed and falls silent
    And 1 s later all instances lose power, and control instances read their leaves
    And 1 s later an announcement that it sent before arrives elsewhere
    Then within 2 s and for 5 s more no instance has it as ready

  # Guards against servers that stay ready for as long as their monitor runs.
  Scenario Outline: a server falls silent after a restart of <which>
    When <which> restarted
    And one of their servers falls silent for good
    Then within 10 s and for 5 s more no instance has it as ready

    Examples:
      | which                 |
      | its monitor           |
      | all control instances |

  # Guards against servers that are dropped although they announce themselves.
  Scenario: servers whose monitors restart are kept
    When all control instances restarted
    Then for 20 s all servers are ready at all instances but those that restarted

  # Guards against logs that can't tell which of two records was kept.
  Scenario: a ready record that arrives after the leave is a logged conflict
    When a server asks its monitor to be removed and falls silent
    And 1 s later a ready record of it with a higher number arrives
    Then a conflict is logged, in which leaving was kept
