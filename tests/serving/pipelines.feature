Feature: requests sent before earlier ones are answered
  HTTP/1.1 pipelining. Guards against serving the requests of a connection one
  after another, so that the last one is late though servers are free, and
  against running a request that may not be repeated concurrently or twice.

  Scenario: repeatable requests run concurrently and are answered in order
    When a pipeline is sent: /safe/a/300/2 /safe/b/100/2 /safe/c/0/2
    Then the answers are a b c within 0.6 s
    And c ran concurrently with a b

  Scenario: a request that may not be repeated runs alone
    When a pipeline is sent: /safe/a/100/2 /once/b/50/2 /safe/c/0/2 /safe/d/0/2
    Then the answers are a b c d within 1 s
    And b ran concurrently with nothing
    And c ran concurrently with d

  Scenario: a pipeline uses a bounded number of servers
    When a pipeline of 40 requests is sent
    Then all 40 are answered in order
    And at most 9 of them ran at once

  Scenario: requests after a slow one are read up to a limit
    When 20 MB of requests are sent after a slow one
    Then the listener reads less than 8 MB of them
    And another caller is answered during this time

  Scenario: a failed answer keeps its position
    When a pipeline is sent: /safe/a/100/2 /safe/broken/0/2 /safe/cut/0/2 /safe/d/0/2
    Then the statuses are 200 500 502 200
    And the connection stays open

  Scenario: a malformed request is answered in its position and is the last
    When a pipeline whose third request is malformed is sent
    Then the statuses are 200 200 400
    And only the last answer announces the close
    And d was not started

  Scenario: requests after one with `connection: close` are not started
    When a pipeline is sent: /safe/a/100/2 /safe/b/0/2!close /safe/c/0/2
    Then the answers are a b within 1 s
    And only the last answer announces the close
    And c was not started

  Scenario: a planned stop answers the started requests only
    A connection has three running requests and one that waits for them when
    the entry is stopped. `connection: close` on the last answer tells the
    caller that the waiting request did not run and may be sent again.
    When the listener is stopped during the pipeline: /safe/a/300/2 /safe/b/100/2 /safe/c/0/2 /once/d/0/2
    Then the answers are a b c within 1 s
    And only the last answer announces the close
    And d was not started
    And the connection ends without a reset

  Scenario: a caller that has ended its side gets the answers to what it sent
    A caller stops using an entry that is no longer returned by look-ups: it
    ends its side and waits for the answers. The entry took it for gone, and
    cancelled its requests, also those that a server had answered.
    When a caller ends its side after sending the pipeline: /safe/a/300/2 /safe/b/100/2 /once/c/0/2 /safe/d/0/2
    Then the answers are a b c d within 1 s
    And only the last answer announces the close
    And the connection ends without a reset

  Scenario: a disconnect of the caller cancels its requests
    When a caller disconnects after sending the pipeline: /safe/a/9000/2 /safe/b/9000/2 /once/c/0/2
    Then a b were cancelled
    And c was not started

  Scenario: an answer sent in parts after an earlier one arrives complete
    When a pipeline is sent: /safe/a/100/2 /safe/parts-b/0/200000 /safe/c/0/2
    Then the answers are a parts-b c within 1 s

  Scenario: an upload after other requests waits for them
    When a pipeline with an upload of 300000 bytes after 2 pages is sent
    Then the upload's answer is the third and complete
    And the upload ran concurrently with nothing

  Scenario: an error of one connection does not affect others
    Shutting down the sending side during a send raised an error. It ended the
    task that serves all callers, and all requests of the entry were cut.
    When a connection fails with an unexpected error
    Then another caller is answered during this time

  Scenario: a stop does not cut the answers of slow readers that pipeline
    An entry stopped while answers to a slow reader were being sent. Shutting
    down the sending side raised an error that cut all callers.
    When the listener is stopped while 8 slow readers pipeline and one uploads
    Then the upload is answered
    And each slow reader got complete answers

  Scenario: pipelines split at any byte get the same answers as single requests
    When 60 random pipelines are sent in random pieces
    Then each gives the answers of its requests sent one by one
    And each request of a pipeline ran once

  Scenario: requests sent ahead are served while a stop takes requests
    The entry read them whole, kept them until the one before was answered with
    `connection: close`, and dropped them: their callers had waited in vain.
    When a stop that takes requests begins during a pipeline, and more follow: /safe/a/300/2 then /safe/b/0/2 /once/c/0/2 /safe/d/0/2
    Then the answers are a b c d within 1 s
    And only the last answer announces the close
