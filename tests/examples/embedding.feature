Feature: modules embedded in another program
  The example is the guide for embedding the register in another program, so it
  must run and print what its documentation says.

  Scenario: the example of the register prints the documented output
    When the example "examples/embedding/register.py" is run
    Then the example prints
      """
      edit: EditAccepted(revision=1)
      read: 1 b'hello'
      """
