Feature: a failed child is restarted; one that keeps failing ends the process
  Callers must not notice the failure of one task of a daemon. If a task keeps
  failing, the process must end instead of staying alive without doing its work.

  Scenario: a child fails occasionally
    When a supervised child fails 20 times, a minute apart, and then returns
    Then the supervised child was restarted each time

  Scenario: a child keeps failing within the event loops of a daemon
    When a child of a daemon keeps failing with a text that would forge a line
    Then the daemon ended with status 1 and one last line that names the cause

  Scenario: a violated invariant in a task of the child ends the process
    A member that goes on voting from an invalid state can accept two edits for
    one revision.

    When a task of a supervised child detects a violated invariant
    Then the supervised child was not restarted

  Scenario: two errors at once
    When a daemon ends with two errors at once
    Then the daemon printed a line with a remedy for each and the higher status
