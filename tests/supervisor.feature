Feature: a child that fails is restarted, one that keeps failing ends it all
  A task of a daemon dies. Callers must not notice one death; a task that dies
  again and again must not leave a process that looks alive and does nothing.

  Scenario: a child fails now and then
    When a supervised child fails 20 times, a minute apart, and then returns
    Then the supervised child was restarted each time

  Scenario: a child keeps failing, inside all the loops of a daemon
    When a daemon's child keeps failing with a text that would forge a line
    Then the daemon ended with status 1 and one last line that says why

  Scenario: a broken invariant ends the process, also out of a task of the child
    A member that goes on voting from a state that is broken can accept two
    edits in the place of one.

    When a task of a supervised child finds an invariant broken
    Then the supervised child was not restarted

  Scenario: two errors at once
    When a daemon ends with two errors at once
    Then the daemon printed a line with a remedy for each and the higher status
