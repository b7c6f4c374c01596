Feature: the whole path
  An operator applies tables and a caller's request is served: settings,
  register, distribution, announcements, routing and streaming must fit
  together, or nothing reaches a backend server.

  Scenario: tables applied, then a look-up, a read, a payment and an upload
    Given a system with a server for each of "catalogue" and "ledger"
    When the tables of "examples/mrema.yaml" are applied and requests sent
    Then every request was served with its own whole answer
    And each request ran once
