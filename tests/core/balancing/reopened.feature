Feature: servers of a failure domain that gets work again
  Their last word is from before the domain was evacuated, or from while it
  was. Taken for warm by it, cold servers crash under their usual load.

  Background:
    Given servers "a" and "b" of domain "d1" that stay cold for 3 s, all warm

  Scenario: they are taken for cold for as long as servers stay cold
    When "d1" is evacuated at 10 s and gets work again at 20 s
    Then server "a" is taken for cold at 20 s
    And server "a" is taken for cold at 22.9 s
    And server "a" is taken for warm at 23 s

  Scenario: a server that says for how long it stays cold is believed
    When "d1" is evacuated at 10 s and gets work again at 20 s
    And server "a" says at 20.5 s that it stays cold for 1 s
    Then server "a" is taken for cold at 21.4 s
    And server "a" is taken for warm at 21.6 s
    And server "b" is taken for cold at 22.9 s

  Scenario: what a server said of an earlier time says nothing of now
    When server "a" says at 11 s that it stays cold for 3 s
    And "d1" is evacuated at 10 s and gets work again at 20 s
    Then server "a" is taken for cold at 22.9 s

  Scenario: while a domain is evacuated, and elsewhere, nothing changes
    When "d1" is evacuated at 10 s and gets work again at 20 s
    And "d2" is evacuated at 20 s and gets work again at 30 s
    Then server "a" is taken for warm at 30 s
