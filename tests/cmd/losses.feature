Feature: why requests missed their goal, from the logs
  After a bad evening the team has gigabytes of logs and one question: what
  went wrong for most of the callers, and when.

  Scenario Outline: <what> is told as its cause
    Given the log lines of a request that <what>
    When the losses are gathered
    Then the only cause is "<cause>"

    Examples:
      | what                         | cause                                       |
      | found no slot                | refused: no-slot                            |
      | came before the tables       | refused: no-tables                          |
      | was cut at the limit         | limit passed as it ran                      |
      | was cut in a queue           | limit passed in a server's queue            |
      | met a failing server         | server failed                               |
      | lost its caller              | caller left                                 |
      | stood behind others          | late: stood behind others on its connection |
      | waited in a queue            | late: waited in a server's queue            |
      | was sent twice               | late: sent twice                            |
      | waited at the entry          | late: waited at the entry                   |

  Scenario: what came in time and what has no route is no loss
    Given the log lines of a request that came in time
    And the log lines of a request that has no route
    When the losses are gathered
    Then there is no loss among 2 requests

  Scenario: torn and foreign lines are passed over
    Given the log lines of a request that found no slot
    And torn and foreign lines around them
    When the losses are gathered
    Then the only cause is "refused: no-slot"

  Scenario: memory does not grow with the logs
    When the losses of 60000 requests without an end are gathered
    Then at most 10000 requests were held at once

  Scenario: programs get a row for each second, instance, route and cause
    Given the log lines of a request that found no slot
    When the losses are gathered
    Then the JSON rows name second, instance, route, cause and count
