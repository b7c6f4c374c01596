Feature: servers of a failure domain that is reopened after an evacuation
  Their last announcement is from before or during the evacuation. Guards
  against treating them as warm because of it: they may have become cold since,
  and cold servers crash under the usual load.

  Background:
    Given warm servers "a" and "b" of domain "d1" with a warm-up time of 3 s

  Scenario: they are treated as cold for the warm-up time of the pool
    When "d1" is evacuated at 10 s and is reopened at 20 s
    Then server "a" is treated as cold at 20 s
    And server "a" is treated as cold at 22.9 s
    And server "a" is treated as warm at 23 s

  Scenario: a later announcement of the time left takes precedence
    When "d1" is evacuated at 10 s and is reopened at 20 s
    And server "a" announces at 20.5 s that it stays cold for 1 s
    Then server "a" is treated as cold at 21.4 s
    And server "a" is treated as warm at 21.6 s
    And server "b" is treated as cold at 22.9 s

  Scenario: an announcement from before the reopening is ignored
    When server "a" announces at 11 s that it stays cold for 3 s
    And "d1" is evacuated at 10 s and is reopened at 20 s
    Then server "a" is treated as cold at 22.9 s

  Scenario: other domains, and domains still evacuated, are not affected
    When "d1" is evacuated at 10 s and is reopened at 20 s
    And "d2" is evacuated at 20 s and is reopened at 30 s
    Then server "a" is treated as warm at 30 s
