Feature: broken server selections that a soak must detect
  Otherwise a soak would pass a server selection that overloads servers.

  Scenario: entries that treat servers as warm unless announced as cold are detected
    Given a soak with entries that treat servers as warm unless announced as cold
    When a soak runs "casting" with seed 1 and evacuations
    Then the soak has a finding with "while cold"

  Scenario: entries that spread an overload over all servers are detected
    Given a soak with entries that use any server when an object's servers are loaded
    When a soak runs "shops" with seed 1 at 1.4 times its load
    Then the soak has a finding with "worth share"

  Scenario: the same load passes without spreading it
    When a soak runs "shops" with seed 1 at 1.4 times its load
    Then the soak has no findings

  Scenario: entries that do not share the allowance of a cold server are detected
    Given a soak with entries that each use the whole allowance of a cold server
    When a soak runs "market" with seed 1 at 1.6 times its load
    Then the soak has a finding with "while cold"
