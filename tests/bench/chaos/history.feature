Feature: checks on the history of a chaos test
  The chaos test must detect each kind of fault that it checks for, such as a
  payment that ran twice. Otherwise it would pass a broken system. The
  scenarios expect findings on histories with such faults and none on correct
  ones.

  Scenario Outline: <case>
    Given a chaos history in which payment "p" had outcome <outcome>
    When the chaos ledgers have payment "p" <times> times
    Then the chaos checks have <findings> findings

    Examples:
      | case                       | outcome  | times | findings |
      | answered, ran once         | answered | 1     | 0        |
      | not-run, did not run       | not-run  | 0     | 0        |
      | unknown, ran once          | unknown  | 1     | 0        |
      | response lost, did not run | lost     | 0     | 0        |
      | answered, ran twice        | answered | 2     | 1        |
      | not-run, but ran           | not-run  | 1     | 1        |
      | answered, but did not run  | answered | 0     | 1        |
      | response lost, ran twice   | lost     | 2     | 1        |

  Scenario Outline: a run <what>
    When a chaos ledger has a run of <path> for <organisation>, <got> its key
    Then the chaos checks have <findings> findings on organisations

    Examples:
      | what                         | path        | organisation | got     | findings |
      | of the caller's organisation | /a          | press        | without | 0        |
      | of another organisation      | /a          | school       | without | 1        |
      | of no organisation           | /a          | ""           | without | 1        |
      | whose server got the key     | /a          | press        | with    | 1        |
      | without a valid key          | /stranger-1 | press        | without | 1        |

  Scenario: two edits accepted as one revision
    Given a chaos history in which edits "a" and "b" were accepted as 4 and 4
    Then the chaos checks have a finding on edits at final revision 4

  Scenario: an accepted edit that is lost
    Given a chaos history in which edits "a" and "b" were accepted as 4 and 5
    Then the chaos checks have a finding on edits at final revision 4
    And the chaos checks have no finding on edits at final revision 5

  Scenario: a repeated edit accepted as another revision
    Given a chaos history in which edits "a" and "a" were accepted as 4 and 5
    Then the chaos checks have a finding on edits at final revision 5

  Scenario: the same seed gives the same schedule
    Then chaos schedules of seed 7 are equal, and differ from that of seed 8
    And the chaos schedule of seed 7 never has faults of two control instances at once

  # Entries must quarantine a request that crashes servers: a few crashes are
  # allowed before all entries know of it, and again afterwards.
  Scenario Outline: a request crashes 3 servers, and <more> more <when>
    Given a chaos history in which a request crashed 3 servers at 1, 2 and 3 s
    And <more> more at <at> s through "entry-2"
    Then the chaos checks have <findings> findings on crashes, "entry-1" killed at 20 s

    Examples:
      | when                          | more | at | findings |
      | before all entries know       | 9    | 6  | 0        |
      | when all entries know         | 3    | 8  | 0        |
      | when all know, over the limit | 4    | 8  | 1        |

  # An entry that was killed can't know of the request at once, so its crashes
  # must not be a finding.
  Scenario: an entry affected by a fault crashes servers
    Given a chaos history in which a request crashed 3 servers at 1, 2 and 3 s
    And 4 more at 24 s through "entry-1"
    Then the chaos checks have 0 findings on crashes, "entry-1" killed at 20 s
    And the chaos checks have 1 findings on crashes, "entry-1" killed at 12 s

  # Requests must stop reaching a server within seconds after it left. A frozen
  # entry sends what it had chosen before.
  Scenario Outline: a request runs <left> s after its server left, <when>
    When a chaos ledger has a run <left> s after the leave, at <at> s
    Then the chaos checks have <findings> findings on leaves, "entry-1" frozen at 20 s

    Examples:
      | when                     | left | at | findings |
      | within the bound         | 2.9  | 10 | 0        |
      | beyond the bound         | 3.1  | 10 | 1        |
      | as an entry just resumed | 3.1  | 22 | 0        |
