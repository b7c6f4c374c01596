Feature: random runs of the replicated register
  Failures occur at any time, also repeatedly and at the same time: lost,
  duplicated and late messages, one-way partitions, kills at a save, blank
  disks, frozen processes, full disks, and members added and removed. In every
  case an accepted edit must stay and a refused edit must never appear.

  Scenario: random runs under failures
    When random operations run under single and double failures
    Then every invariant of the register holds

  Scenario: random runs in which removed members vote again
    An isolated member keeps its data and its promises. When it is added again
    under its old id, it must not undo decisions that were made without it.

    When random operations run while members are removed and added again
    Then every invariant of the register holds

  Scenario Outline: a broken rule is detected by <checker>: <rule>
    Given members that break the rule <rule>
    Then the broken members are detected by <checker>: <message>

    Examples:
      | rule                           | checker           | message                                   |
      | a blank disk is another member | the history       | an accepted edit is on a majority's disks |
      | a majority decides             | the history       | one value for one revision                |
      | a blank disk is another member | the specification | a learned register is chosen              |
      | a majority decides             | the specification | the proposal is allowed                   |

  Scenario: the history detects a revision in force that falls
    When a member learns revision 2 and then revision 1
    Then the history check fails with the revision in force never falls
