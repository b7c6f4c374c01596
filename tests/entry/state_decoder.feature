Feature: an entry decodes the revisions of its configuration
  Most edits change a few rows of a large configuration. An entry decodes these
  rows only, and its routes must be those that a start at this revision gives.

  Scenario: random edits
    When states that follow each other by random edits are decoded
    Then each is equal to the state that is decoded as a whole

  # Guards against entries that build all routes anew for each edit.
  Scenario: an edit of one route of 200
    Given a decoded state with 200 routes
    When the state with another time limit of its route 7 is decoded
    Then all routes but route 7 are the objects of the former state

  # Guards against entries that stop at a value of a newer program.
  Scenario: a value that this program cannot read
    Given a decoded state with 3 routes
    When values with routes that it doesn't know how to read are decoded
    Then each is reported as unreadable and the former state can be decoded
