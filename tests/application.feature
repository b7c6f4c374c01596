Feature: the whole path of a request
  Settings, register, distribution, announcements, routing and streaming must
  work together; otherwise no request reaches a backend server after an
  operator has applied tables.

  Scenario: tables applied, then a look-up, a read, a payment and an upload
    Given a system with a server for each of "catalogue" and "ledger"
    When the tables of "examples/mrema.yaml" are applied and requests sent
    Then every request was served with its own whole answer
    And each request ran once
