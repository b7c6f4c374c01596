Feature: requests that crash each server that runs them

  # Guards against one request that crashes a pool's servers one after another.
  Scenario: a request that crashes servers is repeated at all entries
    Given 3 running entries over 12 servers that restart a second after a crash
    When a crashing GET is sent to all entries until 3 servers have crashed
    And it is sent to each entry 4 more times, 4 s later
    Then it has crashed at most 3 more servers
    And each entry refuses it as not run, with a retry-after
    And each entry serves a harmless GET

  # Guards against counting crashes per entry, or only of repeatable requests.
  Scenario Outline: a crashing <method> is first sent to <entries>
    Given 3 running entries over 12 servers that restart a second after a crash
    When a crashing <method> is sent to <entries> until 3 servers have crashed
    And it is sent to each entry 4 more times, 4 s later
    Then it has crashed at most 3 more servers
    And each entry refuses it as not run, with a retry-after
    And each entry serves a harmless <method>

    Examples:
      | method | entries     |
      | GET    | one entry   |
      | POST   | one entry   |
      | POST   | all entries |
