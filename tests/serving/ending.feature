Feature: what the end of a caller's connection takes along
  Guards against requests that are lost at the end of a connection, and against
  a log that does not name them.

  Scenario: the end of a stop names what it cuts
    When a stop of 0.4 s ends before a caller reads more of: /safe/a/0/40000000 /safe/b/0/2
    Then the log has 1 connection that ended by stop-over
    And its line has unanswered=2 reset=True

  Scenario: a caller that leaves outside of a stop is no line of the log
    When a caller leaves during the pipeline: /safe/a/9000/2 /safe/b/9000/2
    Then the log has 0 connections that ended by caller-closed

  Scenario: a request after the announced close does not destroy the answers
    A caller that is slow to read has not yet read `connection: close` and sends
    its next request. The connection was closed by then, and a reset discarded
    the answer that the kernel still had to send.
    When a caller that reads late sends a request 1.0 s after: /safe/a/100/15000
    Then the caller has the complete answers a of 15000 bytes

  Scenario: a caller that reads after several requests in vain has its answers
    As above, with a caller whose writes fail before it reads.
    When a caller that reads late sends 3 requests 1.0 s after: /safe/a/100/300 /safe/b/0/300
    Then the caller has the complete answers a b of 300 bytes
    And none of its writes failed

  Scenario: a slow reader gets the whole answer after the announced close
    When a caller reads 40000 bytes a second after: /safe/a/100/300000
    Then the caller has the complete answers a of 300000 bytes

  Scenario: an answer that waits for a slow reader outlives the stop
    The time for the stop was over while its caller had read a part of it; the
    rest was still in the process.
    When a stop of 0.6 s ends before a caller reads more of: /safe/a/100/400000
    Then the caller has the complete answers a of 400000 bytes

  Scenario: the end of a stop does not take complete answers along
    Requests run side by side and are answered in order. A complete answer
    waited behind a request that was unfinished at the end of the stop.
    When a stop of 0.6 s ends during the pipeline: /safe/a/9000/2 /safe/b/0/2 /safe/c/9000/2 /safe/d/100/2
    Then the statuses of the ended pipeline are 502 200 502 200
    And the connection ended without a reset

  Scenario: a process that is busy at the end of a stop sends complete answers
    It ran again only when the time for the stop was over: the unfinished request
    was not answered, and the complete answer behind it was lost.
    When a process is busy from 0.4 s to 0.7 s of a stop of 0.6 s during the pipeline: /safe/a/9000/2 /safe/b/0/2
    Then the statuses of the ended pipeline are 502 200
    And the connection ended without a reset

  Scenario: an answer that arrives as unfinished requests are refused is sent
    Its task was cancelled while it wrote the answer. The connection was reset, so
    that the complete answer behind it was lost too.
    When an answer of 64000 bytes arrives just as unfinished requests are refused
    Then the caller has two whole answers, of which the second is "behind"
    And the connection ended without a reset
