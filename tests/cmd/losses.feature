Feature: why requests missed their goal, from the logs
  After an incident, operators find from gigabytes of logs why most requests
  missed their goal, and when.

  Scenario Outline: the cause of a request that <what>
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

  Scenario: requests answered in time and requests without a route are no loss
    Given the log lines of a request that was answered in time
    And the log lines of a request that has no route
    When the losses are gathered
    Then there is no loss among 2 requests

  Scenario: losses are counted by organisation, but not requests without a key
    Given the log lines of a request that exceeded the limit of its organisation
    And the log lines of a request that has no key
    When the losses are gathered
    Then the only cause is "refused: over-limit"
    And the table of losses names the organisation "press"

  Scenario: truncated and foreign lines are ignored
    Given the log lines of a request that found no slot
    And truncated and foreign lines around them
    When the losses are gathered
    Then the only cause is "refused: no-slot"

  Scenario: memory is bounded when requests have no end
    When the losses of 60000 requests without an end are gathered
    Then at most 10000 requests were open at once

  Scenario: the JSON output has a row for each second, instance, route and cause
    Given the log lines of a request that found no slot
    When the losses are gathered
    Then the JSON rows name second, instance, route, cause and count
