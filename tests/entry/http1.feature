Feature: HTTP/1.1 connections to backend servers
  An answer that is cut, that belongs to another request or that no server
  sent must not reach a caller as a complete one.

  Scenario Outline: answers as they arrive
    Given a backend connection whose server answers "<bytes>" and then <end>
    When a GET is sent on it
    Then the outcome is "<outcome>"
    And the connection may <reuse> used again

    Examples:
      | bytes                                                            | end    | outcome    | reuse  |
      | HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok                   | waits  | 200 ok     | be     |
      | HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok                   | closes | 200 ok     | not be |
      | HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK    | waits  | 200 ok     | not be |
      | HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok | waits | 200 ok  | not be |
      | HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n     | waits  | 204        | be     |
      | HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nok                   | closes | 200 lost   | not be |
      | HTTP/1.1 200 OK\r\n\r\nok                                        | closes | 200 ok     | not be |
      | HTTP/1.1 200 OK\r\n\r\nok                                        | resets | 200 lost   | not be |
      | HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n | closes | 200 lost   | not be |
      | HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n | waits | 200 ok | be |
      | HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nok | waits | lost | not be |
      | no HTTP at all\r\n\r\n                                           | waits  | lost       | not be |
      | HTTP/1.1 200                                                     | closes | lost       | not be |
      |                                                                  | closes | lost       | not be |
      |                                                                  | resets | lost       | not be |

  Scenario: the head and a short body are sent in one write
    Given a backend connection whose server answers "HTTP/1.1 204 No Content\r\n\r\n" and then waits
    When a POST with the body "order" is sent on it
    Then the server's first read contains the head and "order"
    And the first byte was reported once

  Scenario: a server answers before it has read the body
    The server rejects an upload after its first part and reads no more.
    Given a backend connection whose server answers "HTTP/1.1 413 Too Large\r\ncontent-length: 0\r\n\r\n" and then waits
    When a POST with an endless body is sent on it
    Then the outcome is "413"
    And the connection may not be used again
