Feature: parts embedded in a program of one's own
  Someone takes the register into another program, by the example alone. If the
  example no longer ran, the first hour with the library would be lost.

  Scenario: the example of the register runs as it says
    When the example "examples/embedding/register.py" is run
    Then the example prints
      """
      edit: EditAccepted(revision=1)
      read: 1 b'hello'
      """
