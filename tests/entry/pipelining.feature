Feature: pipelined requests through an entry to its servers
  Guards against serving pipelined requests one after another, so that three
  GETs take three times as long as one though servers are free. Also guards
  against running a request that is not repeatable, or has a body, concurrently
  with others.

  Scenario: pipelined GETs run concurrently, a POST after them
    Given the data path over servers that take 0.3 s
    When three GETs and a POST are pipelined on one connection
    Then four answers arrive in order within 0.8 s
    And the POST was sent to a server after all GETs were answered
    And the log has the number of requests ahead of each

  Scenario Outline: <what> does not run concurrently with others
    Then the data path lets <what> run concurrently with others: no

    Examples:
      | what                    |
      | a POST                  |
      | a GET with a body       |
      | a chunked GET, no host  |

  # Guards against a route that doesn't begin the path permitting concurrency.
  Scenario: the order of requests depends on the path as it was sent
    Then with routes "once /o/, often /o/list/" a GET of "/o/list%2F1" runs concurrently with others: no
    And with routes "once /o/, often /o/list/" a GET of "/o/list/1" runs concurrently with others: yes

  Scenario: a GET runs concurrently with others
    Then the data path lets a GET run concurrently with others: yes
