Feature: concurrent edits and reads among members in several regions
  Two edits of one revision must not both be accepted, whatever reads run
  between them. With five members a read waits for the answers of two others,
  which may have been sent before and after a new ballot; with three members it
  waits for one answer only.

  Scenario Outline: two concurrent edits with random reads, seed <seed>
    Given 5 members with seed <seed> and message delays of 20 to 60 ms
    When 30 times two edits race while random members receive reads
    Then at most one edit of each revision was accepted

    Examples:
      | seed |
      | 7    |
      | 18   |
