Feature: requests that crash every server that runs them

  # Guards against one request that ends a pool's servers one after another.
  Scenario: a request that crashes its servers comes again at all entries
    Given 3 running entries over 12 servers that are back a second after a crash
    When a crashing GET is sent to all entries until 3 servers have crashed
    And it is sent to each entry 4 times more, 4 s later
    Then it has crashed at most 3 servers more
    And each entry refuses it as not run and says when to come back
    And each entry serves a sound GET

  # Guards against counting by entry, or only what may be repeated.
  Scenario Outline: a crashing <method> comes first to <entries>
    Given 3 running entries over 12 servers that are back a second after a crash
    When a crashing <method> is sent to <entries> until 3 servers have crashed
    And it is sent to each entry 4 times more, 4 s later
    Then it has crashed at most 3 servers more
    And each entry refuses it as not run and says when to come back
    And each entry serves a sound <method>

    Examples:
      | method | entries     |
      | GET    | one entry   |
      | POST   | one entry   |
      | POST   | all entries |
