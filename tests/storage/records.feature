Feature: a member's records
  The power goes out while a control instance writes a vote. If the vote was
  told but is not on the disk, or half of it is, the instance votes again under
  the same ballot after the restart and an accepted edit is lost.

  Scenario: a crash at every write and sync point
    When votes are saved with a crash at every point of the disk
    Then after each of at least 150 crashes the votes told are held, none torn

  Scenario: the same crashes on a disk that does not sync are noticed
    When votes are saved with a crash at every point of a disk without syncs
    Then some vote that was told is missing

  Scenario: a full disk refuses the vote and keeps the one before
    Given records with a vote saved
    When the disk under the records is full
    Then saving a vote is refused, naming the remedy
    When there is room under the records again
    Then the vote before is held

  Scenario Outline: a flipped byte in the record <name> is named, not voted from
    Given records with a vote saved
    When a byte of the record file "<name>" flips
    Then opening the records names "<name>" and the remedy "move the data folder aside"

    Examples:
      | name |
      | identity |
      | starts |
      | promise |
      | register |

  Scenario Outline: a missing record <name> is not taken for a blank disk
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

  Scenario: a record of a newer format names the program to start
    Given records with a vote saved
    When the record file "promise" has format 9
    Then opening the records names "promise" and the remedy "start the program's version that wrote it"
