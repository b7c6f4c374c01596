Feature: one line an event, which no one can forge
  A caller puts a newline and `level=error` into a path or a header. If it
  reached the log as it is, operators and their tools would read a line that
  no process of ours has written.

  Scenario: any values
    When log events with random values are written
    Then each log line gives back exactly the values that were written

  Scenario: decision lines are sampled, others are not
    When 100 decision lines and 3 other lines are logged at one in 10
    Then 10 decision lines and 3 other lines were written
