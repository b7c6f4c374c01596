Feature: requests sent before earlier ones are answered
  A performer's browser asks for five pages at once on one connection. Each
  waited for the one before it, and the last came too late, though servers
  were free. An agent's booking behind them must still run once and alone.

  Scenario: repeatable requests run side by side and are answered in order
    When a pipeline is sent: /safe/a/300/2 /safe/b/100/2 /safe/c/0/2
    Then the answers are a b c within 0.6 s
    And c ran beside a b

  Scenario: what may not be repeated runs alone
    When a pipeline is sent: /safe/a/100/2 /once/b/50/2 /safe/c/0/2 /safe/d/0/2
    Then the answers are a b c d within 1 s
    And b ran beside nothing
    And c ran beside d

  Scenario: a caller's pipeline takes a bounded number of servers
    When a pipeline of 40 requests is sent
    Then all 40 are answered in order
    And at most 9 of them ran at once

  Scenario: a flood of requests behind a slow one waits in the network
    When 20 MB of requests are sent behind one that takes long
    Then the listener takes less than 8 MB of them
    And another caller is answered meanwhile

  Scenario: an answer that fails takes its own place
    When a pipeline is sent: /safe/a/100/2 /safe/broken/0/2 /safe/cut/0/2 /safe/d/0/2
    Then the statuses are 200 500 502 200
    And the connection is kept

  Scenario: what is no request takes its own place and is the last
    When a pipeline with nonsense in third place is sent
    Then the statuses are 200 200 400
    And the last answer alone closes the connection
    And d was not started

  Scenario: nothing behind a request that closes the connection is started
    When a pipeline is sent: /safe/a/100/2 /safe/b/0/2!close /safe/c/0/2
    Then the answers are a b within 1 s
    And the last answer alone closes the connection
    And c was not started

  Scenario: a planned stop answers what was started and leaves the rest
    Three pages and a booking are on their way on one connection when the
    entry is stopped. The booking has not been sent on: the caller may send it
    again, but only if it is told so by the close behind the last page.
    When a stop comes in the pipeline: /safe/a/300/2 /safe/b/100/2 /safe/c/0/2 /once/d/0/2
    Then the answers are a b c within 1 s
    And the last answer alone closes the connection
    And d was not started
    And the connection ends without a reset

  Scenario: a caller that leaves cancels all that it sent
    When a caller leaves behind the pipeline: /safe/a/9000/2 /safe/b/9000/2 /once/c/0/2
    Then a b were cancelled
    And c was not started

  Scenario: an answer in parts behind another one is whole
    When a pipeline is sent: /safe/a/100/2 /safe/parts-b/0/200000 /safe/c/0/2
    Then the answers are a parts-b c within 1 s

  Scenario: an upload behind other requests waits for them
    When a pipeline with an upload of 300000 bytes behind 2 pages is sent
    Then the upload's answer comes third and whole
    And the upload ran beside nothing

  Scenario: a connection that fails by itself fails alone
    An end of sending met a send that was under way: the error ended the task
    that serves every caller, and all requests of the entry were cut.
    When a connection meets an error that nobody expects
    Then another caller is answered meanwhile

  Scenario: a stop beside slow readers that pipeline cuts nobody
    A caller reads slowly what it asked for at once. As the entry stopped, the
    end of sending met the answer still on its way, and every caller was cut.
    When a stop comes while 8 slow readers pipeline beside an upload
    Then the upload is answered
    And each slow reader got whole answers

  Scenario: pipelines cut anywhere give the same answers as requests one by one
    When 60 random pipelines are sent in random pieces
    Then each gives the answers of its requests sent one by one
    And each request of a pipeline ran once
