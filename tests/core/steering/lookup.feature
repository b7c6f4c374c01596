Feature: which entries a caller should use
  A caller keeps an answer for some seconds. When it names one failure domain
  alone, or an entry that has just stopped, or when all callers are sent to the
  one entry that was idle a second ago, a shop's stock check waits or fails.

  Scenario: the answer is spread over failure domains and one other region
    Given look-ups over 3 regions with 2 failure domains of 2 entries each
    Then 300 callers get 4 entries: 3 of dar in both failure domains, then 1 near
    And each entry of dar is first for 0.15 to 0.35 of them

  Scenario: an entry that stops is named no more and others keep their callers
    Given look-ups over 3 regions with 2 failure domains of 2 entries each
    When look-ups hear that "dar-1-0" is leaving
    Then no caller is sent to "dar-1-0" and all others keep their first entry
    And look-ups may be cached for 2.5 s of 5 s

  Scenario: a busy entry loses some callers, not all
    Given look-ups over 3 regions with 2 failure domains of 2 entries each
    When look-ups hear that "dar-1-0" has a load of 100
    Then "dar-1-0" is first for 0.03 to 0.15 of 300 callers

  Scenario: a region without entries
    Given look-ups over 3 regions with 2 failure domains of 2 entries each
    When look-ups hear no more of "dar"
    Then 300 callers get 4 entries: 3 of arusha in both failure domains, then 1 near
