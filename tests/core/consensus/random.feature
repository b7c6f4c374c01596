Feature: random runs of the replicated register
  Any failure may come at any moment, together or twice: messages lost, doubled
  and late, one-way cuts, kills at a save, blank disks, freezes, full disks,
  members added and removed. Whatever comes, an accepted edit stays and a
  refused one never appears.

  Scenario: random runs under failures
    When members run at random under failures one at a time and in pairs
    Then every invariant of the register held

  Scenario Outline: a broken rule is caught: <rule>
    Given members that break the rule <rule>
    Then the broken members are caught: <what>

    Examples:
      | rule | what |
      | a blank disk is another member | accepted is on a majority's disks |
      | a majority decides | the revision never falls |
