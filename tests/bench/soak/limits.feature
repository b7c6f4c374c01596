Feature: limits of servers in soak runs of random faults
  Servers name limits of their requests a second while others are slow, mute, dead
  or cold, and while entries are lost.

  # Guards against a server that gets more than the limit it named, beside faults.
  Scenario Outline: limits of servers are kept while servers and entries fail
    When a soak runs "<site>" with seed <seed> and limits of servers
    Then the soak has no findings

    Examples:
      | site   | seed |
      | market | 1    |
      | shops  | 2    |

  # Guards against a check of limits that passes any entry.
  Scenario: entries that each use the whole limit of a server are detected
    Given a soak with entries that each use the whole limit of a server
    When a soak runs "market" with seed 1 and limits of servers
    Then the soak has a finding with "at a limit of"
