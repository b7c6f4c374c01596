Feature: days of faults on the model
  A soak that could not see an overload that keeps itself up, or a cold server
  that is flooded, would call a broken policy good.

  Scenario Outline: a day of faults ends as a calm one does
    When a soak plays "<site>" with seed <seed>
    Then the soak finds nothing

    Examples:
      | site   | seed |
      | market | 1    |
      | market | 4    |
      | shops  | 3    |

  Scenario Outline: failure domains that come back cold, unnoticed, are not flooded
    When a soak plays "<site>" with seed <seed> and evacuations
    Then the soak finds nothing

    Examples:
      | site    | seed |
      | market  | 1    |
      | casting | 1    |

  Scenario: entries that take silence for warmth are caught
    Given soaked entries that take every server for warm unless told otherwise
    When a soak plays "casting" with seed 1 and evacuations
    Then the soak finds "while cold"

  Scenario: entries that spread an overload over all servers are caught
    Given soaked entries that take any server when the first ones are loaded
    When a soak plays "market" with seed 1 at 1.6 times its load
    Then the soak finds "is earned"

  Scenario: entries that do not share what a cold server bears are caught
    Given soaked entries that each take a cold server's allowance for theirs
    When a soak plays "market" with seed 1 at 1.6 times its load
    Then the soak finds "while cold"

  Scenario: the same seed gives the same faults
    Then soak plans of seed 7 are alike, and unlike that of seed 8
