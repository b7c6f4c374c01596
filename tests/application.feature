Feature: the whole path of a request
  Settings, register, distribution, announcements, routing and streaming must
  work together; otherwise no request reaches a backend server after an
  operator has applied tables.

  Scenario: tables applied, then a look-up, a read, a payment and an upload
    Given a system with a server for each of "catalogue" and "ledger"
    When the tables of "examples/mrema.yaml" are applied and requests sent
    Then every request was served with its own whole answer
    And each request ran once

  Scenario: an error while an entry leaves does not cut its requests
    The task that handles signals is not supervised: an error in it ended the
    process, and with it all requests under way.
    When leaving fails after SIGTERM
    Then the daemon stops accepting and finishes its requests

  Scenario: an error while settings are read again does not cut requests
    When reading the settings again fails after SIGHUP
    Then the daemon goes on
