Feature: directory of servers
  Guards against new requests to a server that is about to stop. The server
  announces that it is leaving, and a `ready` sent before that arrives late
  through another entry.

  Background:
    Given a directory with leases of 4 s

  Scenario: a late ready does not bring a leaving server back
    When server "ledger-1" announces ready as 1.1 at 0 s
    And server "ledger-1" announces leaving as 1.3 at 1 s
    And server "ledger-1" announces ready as 1.2 at 1 s
    And server "ledger-1" announces ready as 1.4 at 2 s
    Then no server is ready

  Scenario: a new incarnation is a new server
    When server "ledger-1" announces leaving as 1.3 at 1 s
    And server "ledger-1" announces ready as 2.1 at 2 s
    Then server "ledger-1" is ready

  Scenario: a silent server is dropped when its lease ends
    When server "ledger-1" announces ready as 1.1 at 0 s
    And time is 4 s
    Then no server is ready

  # Guards against a ready record that wins over a leave by its number.
  Scenario: a late leaving marks a newer ready record
    When server "ledger-1" announces ready as 1.4 at 1 s
    And server "ledger-1" announces leaving as 1.3 at 2 s
    Then no server is ready

  # Guards against a leave with the same number as a ready record.
  Scenario: a leaving with the same number as a ready record
    When server "ledger-1" announces ready as 1.3 at 1 s
    And server "ledger-1" announces leaving as 1.3 at 1 s
    Then no server is ready

  # Guards against a tombstone that forgets that the server had left.
  Scenario: a late ready does not bring back a server that left and is gone
    When server "ledger-1" announces leaving as 1.3 at 1 s
    And server "ledger-1" announces gone as 1.3 at 2 s
    And server "ledger-1" announces ready as 1.4 at 3 s
    Then no server is ready

  # Guards against a leave of an earlier start that stops a new one.
  Scenario: a late leaving of an earlier incarnation changes nothing
    When server "ledger-1" announces ready as 2.1 at 1 s
    And server "ledger-1" announces leaving as 1.9 at 2 s
    Then server "ledger-1" is ready
