Feature: input on a caller's connection
  Guards against request smuggling (the entry and a server parse a request
  differently), and against a caller that delays others: by many connections,
  by a stalled upload, or by an answer that it does not read.

  Scenario Outline: <what> is refused and sent to no server
    When raw bytes with <what> are sent
    Then the caller gets <status> with a remedy
    And no server received it

    Examples:
      | what                    | status |
      | two framings            | 400    |
      | two lengths             | 400    |
      | an unknown coding       | 501    |
      | chunks in HTTP/1.0      | 400    |
      | a line without a colon  | 400    |
      | two hosts               | 400    |
      | no host                 | 400    |
      | dot segments            | 400    |
      | another host's URL      | 400    |
      | an unknown expectation  | 417    |
      | a head that is too long | 431    |
      | an incomplete head      | 408    |
      | a body that is too long | 413    |

  Scenario: a malformed body is refused, with outcome unknown
    When raw bytes with a broken chunk are sent
    Then the caller gets 400 with outcome unknown

  Scenario Outline: <what> is served as plain HTTP/1.1
    When raw bytes with <what> are sent
    Then the caller gets 200 and nothing else

    Examples:
      | what            |
      | an h2c upgrade  |
      | a websocket     |
      | a HEAD request  |
      | trailers        |
      | two at once     |
      | an HTTP/1.0 get |

  Scenario: forged forwarding headers are replaced
    When raw bytes with forged headers are sent
    Then the server received only the entry's own forwarding headers

  Scenario: the body is requested only if the request is accepted
    When an upload with `expect: 100-continue` is sent
    Then the caller gets 100 before 200
    When an upload that is too long is sent with `expect: 100-continue`
    Then the caller gets 413 without 100

  Scenario: an early answer of the server ends the upload
    When an upload is sent that the server refuses early
    Then the caller gets 413 before the upload's end

  Scenario: the connection of a stalled upload is closed
    When an upload stalls
    Then the connection is closed and no slot is in use

  Scenario: an upload whose server is slow to read it is not a stalled one
    The caller has sent more than is read ahead, and can send nothing more.
    When an upload that fills the buffer follows another request
    Then both get an answer

  Scenario: the connections of one caller are limited
    When one caller opens more connections than its limit
    Then the connections beyond the limit are closed

  Scenario: callers that don't close answered connections keep nobody out
    Each held its connection for seconds after the last answer.
    When one caller is answered on 12 connections, and closes none
    Then each of the 12 got its answer

  Scenario: a connection ends while idle ones are being closed
    Under load, polling the socket of a connection that had just been closed
    raised an error: the listener ended, and all uploads were cut.
    When idle connections are closed just after one has ended
    Then another request is still served

  Scenario: back-pressure of a server reaches the caller
    The server does not read. The entry must not buffer the upload without
    limit.
    When an upload of 200 MB goes to a server that reads nothing
    Then the entry reads less than 20 MB of it

  Scenario: a slow reader delays only itself
    When a caller does not read an answer of 200 MB
    Then the entry reads less than 20 MB of the answer
    And another caller is served during this time
