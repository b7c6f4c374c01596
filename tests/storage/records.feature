Feature: records of a register member
  A control instance loses power while it writes a vote. If a vote that was sent
  is missing or torn on the disk, the instance votes again under the same ballot
  after the restart, and an accepted edit is lost.

  Scenario: a crash at every write and sync point
    When votes are saved with a crash at each disk operation in turn
    Then after each of at least 150 crashes every confirmed vote is intact

  Scenario: the same crashes on a disk without syncs lose votes
    When votes are saved on a disk without syncs, with a crash at each operation
    Then some confirmed vote is missing

  Scenario: a full disk refuses a vote and keeps the previous one
    Given records with a vote saved
    When the disk under the records is full
    Then saving a vote fails and the error names the remedy
    When the disk under the records has free space again
    Then the previous vote is loaded

  Scenario Outline: a flipped byte in the record <name> prevents opening
    Given records with a vote saved
    When a byte of the record file "<name>" flips
    Then opening the records names "<name>" and the remedy "move the data folder aside"

    Examples:
      | name |
      | identity |
      | starts |
      | promise |
      | register |

  Scenario Outline: a missing record <name> is not treated as a blank disk
    Given records with a vote saved
    When the record file "<name>" is missing
    Then opening the records names "<name>" and the remedy "move the data folder aside"

    Examples:
      | name |
      | identity |
      | starts |
      | promise |
      | register |

  Scenario: the folder of another instance is refused
    Given records with a vote saved
    Then opening the records as "control-2" names its owner

  Scenario: the error for a newer record format names the version to start
    Given records with a vote saved
    When the record file "promise" has format 9
    Then opening the records names "promise" and the remedy "start the program's version that wrote it"
