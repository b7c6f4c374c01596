Feature: requests at an entry that has just started
  All machines lost power and came back together. Callers reach an entry half a
  second before control has given it the tables, and a moment before the first
  servers announce themselves. Sent away, they came back by guess, found no
  tables once more, and gave up; a short wait serves them.

  Scenario: the first tables come while a request waits
    Given an entry that learns its tables after 0.3 s
    When a request comes to it at once
    Then it is answered 200 after 0.3 to 0.9 s

  Scenario: no tables come
    Given an entry that learns no tables
    When a request comes to it at once
    Then it is refused as not run after 0.9 to 1.5 s

  Scenario: the first server comes while a request waits
    Given an entry that chooses servers by itself and knows none
    When its first server comes 0.2 s after a request
    Then the request gets that server after 0.2 to 0.5 s

  Scenario: a pool without servers later on
    Given an entry that chooses servers by itself and knows none
    When a request comes to it 4 s after its start
    Then it gets no server, at once
