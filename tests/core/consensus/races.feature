Feature: operators race while others read, among members in several regions
  Two edits of one revision must not both be accepted, whatever reads come in
  between. Among five members a read waits for two others' answers, which can
  be from before and after a ballot; among three for one only.

  Scenario Outline: races of two edits with reads at random, seed <seed>
    Given 5 members with seed <seed> that are 20 to 60 ms apart
    When 30 times two members get an edit each, and random ones are read
    Then no two edits of one revision were accepted

    Examples:
      | seed |
      | 7    |
      | 18   |
