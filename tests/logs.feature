Feature: one log line per event, which input cannot forge
  A caller may put a newline and `level=error` into a path or a header. If such
  text reached the log unquoted, operators and their tools would read a line
  that no process has written.

  Scenario: random values
    When log events with random values are written
    Then each log line contains exactly the values that were written

  Scenario: decision events are sampled, other events are not
    When 100 decision lines and 3 other lines are logged at one in 10
    Then 10 decision lines and 3 other lines were written

  Scenario: hundreds of changes of servers hide no line of the control plane
    When 500 lines of one logger and then 5 of another are written in a second
    Then 75 lines of the one and 5 of the other are written at 100 in a second
