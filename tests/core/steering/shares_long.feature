Feature: shares in force under the cap, in long runs
  An operator drains a region or changes weights. If every entry acted at once,
  or each by a clock of its own, a third of all payments would land on idle
  servers within seconds: cold caches, full slots, refusals. What callers see
  may move by no more than the cap in any minute, whatever happens midway.

  Background:
    Given shares over dar, arusha and mwanza with a cap of 0.1 a minute

  Scenario: weights change
    Given shares that start with "weights 1 1 1"
    When the shares run with "weights 3 1 1" for 1 minutes
    And the shares run with "weights 1 3 1" for 2 minutes
    Then what callers saw moved under the cap, give or take chance
    When the shares run on for 6 minutes
    Then arusha serves 0.55 to 0.65 of all

  @soak
  Scenario: random edits, freezes, restarts, clocks, losses and room
    Then the cap holds over a random run of the shares
