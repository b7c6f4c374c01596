Feature: a planned stop of an entry
  A franchise uploads its manifest while operators replace the entry. The
  upload must end well; a shop that learned of the entry seconds ago must be
  served; nobody's next request may meet a connection that is being closed.

  Scenario: an upload in progress outlives the stop
    Given an entry that can be stopped
    When it is stopped in the midst of an upload
    Then the upload is answered whole
    And the stopped entry cut nothing

  Scenario: who learned of it before the stop is served
    Given an entry that can be stopped
    When it is stopped and a caller comes by an old look-up
    Then the late caller is answered and told that the connection closes
    And the stopped entry cut nothing

  Scenario: a kept-alive connection is told before it is closed
    The caller writes its next request just as the entry is stopped. Closing
    the connection then would lose a request that may or may not have run.
    Given an entry that can be stopped
    When it is stopped while a caller keeps a connection
    Then the kept connection's next request is answered, then it is closed
    And the stopped entry cut nothing

  Scenario: with nobody connected the stop takes the look-ups' time alone
    Given an entry that can be stopped
    When it is stopped with nobody there
    Then the stopped entry cut nothing

  Scenario: the most time that a stop may take is kept
    Given an entry that can be stopped
    When it is stopped in the midst of an upload that never ends
    Then the stopped entry cut 1 request and said so

  Scenario: a second signal cuts at once and says what
    Given an entry that can be stopped
    When it is stopped and cut in the midst of an upload
    Then the stopped entry said what it cut
