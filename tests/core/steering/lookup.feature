Feature: ranking of entries for look-ups
  A caller caches an answer for some seconds. Its requests wait or fail if the
  answer has entries of a single failure domain, or an entry that has just
  stopped, or if all callers are sent to the entry that was idle a second ago.

  Scenario: the answer covers several failure domains and one other region
    Given look-ups over 3 regions with 2 failure domains of 2 entries each
    Then 300 callers get 4 entries: 3 of dar in both failure domains, then 1 of the next
    And each entry of dar is first for 0.15 to 0.35 of them

  Scenario: a stopping entry is not returned and others keep their callers
    Given look-ups over 3 regions with 2 failure domains of 2 entries each
    When the look-up index learns that "dar-1-0" is leaving
    Then no caller is sent to "dar-1-0" and all others keep their first entry
    And answers to look-ups may be cached for 2.5 s instead of 5 s

  Scenario: a busy entry loses some of its callers, not all
    Given look-ups over 3 regions with 2 failure domains of 2 entries each
    When the look-up index learns that "dar-1-0" has a load of 100
    Then "dar-1-0" is first for 0.03 to 0.15 of 300 callers

  Scenario: a region without entries
    Given look-ups over 3 regions with 2 failure domains of 2 entries each
    When the look-up index has no more entries of "dar"
    Then 300 callers get 4 entries: 3 of arusha in both failure domains, then 1 of the next
