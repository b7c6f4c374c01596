Feature: shifts of traffic under the cap, in long runs
  An operator drains a region or changes weights. If all entries moved their
  traffic at once, or each by its own clock, a third of all requests would reach
  idle servers within seconds, with cold caches, full slots and refusals. The
  traffic moved in any minute must stay within the cap, whatever fails midway.

  Background:
    Given a simulation of shifts in dar, arusha and mwanza with a cap of 0.1 a minute

  Scenario: weights change
    Given a simulation of shifts that starts with "weights 1 1 1"
    When the simulation runs for 1 minutes after the edit "weights 3 1 1"
    And the simulation runs for 2 minutes after the edit "weights 1 3 1"
    Then the traffic moved under the cap, apart from random variation
    When the simulation runs on for 6 minutes
    Then arusha serves 0.55 to 0.65 of all requests

  @soak
  Scenario: random edits, freezes, restarts, clocks, losses and slots
    Then the cap holds in a random run of the simulation
