Feature: every entry installs the newest revision and never an older one
  Operators see that a change was accepted and expect it in force everywhere
  within seconds. Messages are lost, control instances are cut off without
  noticing, and entries restart. An entry that started from an old revision,
  or went back to one, would send callers to servers that were removed.

  Scenario Outline: a change reaches all entries within the bound
    Given a distribution network of 12 entries that loses <loss> %
    And distribution by push, pull and piggyback
    When a change is accepted on the distribution network
    Then the distribution network has it in force everywhere within 13 s

    Examples:
      | loss |
      | 0    |
      | 10   |
      | 30   |

  Scenario Outline: some modes alone bring the change
    Given a distribution network of 12 entries that loses <loss> %
    And distribution by <modes>
    When a change is accepted on the distribution network
    Then the distribution network has it in force everywhere within <bound> s

    Examples:
      | modes               | loss | bound |
      | push                | 0    | 1     |
      | push                | 10   | 26    |
      | push                | 30   | 40    |
      | pull                | 0    | 6     |
      | pull                | 30   | 40    |
      | piggyback           | 0    | 3     |
      | piggyback           | 30   | 13    |
      | push and piggyback  | 30   | 13    |
      | pull and piggyback  | 30   | 13    |

  Scenario: every push is lost
    Given a distribution network of 12 entries that loses 0 %
    And distribution by push, pull and piggyback
    And every push on the distribution network is lost
    When a change is accepted on the distribution network
    Then the distribution network has it in force everywhere within 13 s

  Scenario: a stale control instance answers a starting entry
    Given a distribution network of 1 entries that loses 0 %
    And distribution by push, pull and piggyback
    And control instance 1 is cut off from the others but not from entries
    And 5 changes are accepted on the distribution network
    When the distribution entry restarts and reaches only control instance 1
    Then the distribution entry has nothing in force after 60 s
    And the distribution entry starts at the newest revision when it reaches all

  Scenario: unconfirmed answers of a majority are enough to start
    Given a distribution network of 1 entries that loses 0 %
    And distribution by push, pull and piggyback
    And 3 changes are accepted on the distribution network
    And no control instance reaches another any more
    When the distribution entry restarts
    Then the distribution entry installs revision 3 within 5 s

  Scenario: an entry restarts after 500 changes
    Given a distribution network of 2 entries that loses 0 %
    And distribution by push, pull and piggyback
    When a frozen distribution entry misses 500 changes, and another restarts
    Then both distribution entries took one step to the newest revision

  Scenario: control is cut off from a region for long, then reachable again
    Given a distribution network of 6 entries that loses 0 %
    And distribution by push, pull and piggyback
    When control is cut off from distribution entries 4 to 6 for 600 s
    And a change is accepted on the distribution network
    Then the distribution network has it in force everywhere within 13 s
    And the cut distribution entries report the age of their peers' revision

  Scenario: an entry is cut off for long, then reachable again
    Given a distribution network of 4 entries that loses 0 %
    And distribution by push, pull and piggyback
    When distribution entry 1 is cut off from everyone for 600 s and 50 changes
    Then the cut distribution entry kept its old revision and reported its age
    And the distribution network has it in force everywhere within 13 s

  Scenario Outline: keys with a largest age while nobody edits the tables
    Entries refuse all keys that no majority has confirmed for this time, so
    confirmations must come often enough without any change.

    Given a distribution network of 4 entries that loses <loss> %
    And distribution for confirmations of at most <age> s
    When nothing changes for 300 s
    Then no confirmation was older than <age> s

    Examples:
      | age | loss |
      | 3   | 0    |
      | 5   | 1    |
      | 60  | 5    |

  Scenario: a process is stopped for minutes and continues
    Given a distribution network of 2 entries that loses 0 %
    And distribution by push, pull and piggyback
    When distribution entry 1 is stopped for 300 s and cut off when it continues
    Then it does not treat the messages in its buffers as recent

  Scenario: one-way cuts
    Given a distribution network of 6 entries that loses 0 %
    And distribution by push, pull and piggyback
    When no message of control instance 1 and 2 reaches distribution entries 1 to 3
    And a change is accepted on the distribution network
    Then the distribution network has it in force everywhere within 13 s

  Scenario: a change reported by a peer while all control instances are silent
    The control instance that an entry watches freezes as it accepts a change.
    The entry answered 404 for a route that was added 2.0 s before.

    Then an entry to which only a peer reports a change has it within 1 s

  Scenario: a report of a revision that does not exist
    Given a distribution network of 2 entries that loses 0 %
    And distribution by push, pull and piggyback
    When revision 1000000 is reported to a distribution entry each second for 600 s
    Then that distribution entry polled at most twice a second
    And the distribution network has it in force everywhere within 13 s

  Scenario: an older program receives a value it cannot read
    Given a distribution follower that cannot read revision 2
    When it is answered with distribution revisions 1, 2 and 3
    Then it put distribution revisions 1 and 3 in force and reported 2

  Scenario: a program receives a value that is no JSON array
    Given a distribution follower at revision 1
    When it is answered with whole values that can't be split
    Then it reported each as unreadable and kept its value

  Scenario: a difference that does not match, and one revision with two values
    Given a distribution follower at revision 1
    When it is answered with a wrong difference, then with another value
    Then it reported both, kept its value and asked for the whole one

  Scenario: an answer with a lower revision
    Given a distribution follower at revision 1
    When it is answered with distribution revisions 5 and 3
    Then its distribution revision is still 5

  Scenario: random loss, cuts, restarts, freezes and changes
    When distribution runs randomly with its invariants checked
    Then no distribution invariant broke
