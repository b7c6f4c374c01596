Feature: what comes in on a caller's connection
  A shop counter shares its entry with everybody. Another caller may send what
  two programs read differently, hold connections open, stall, or read
  nothing; the counter's stock check must not wait for it, nor must its answer
  ever be mixed with that caller's.

  Scenario Outline: <what> is refused and reaches no server
    When raw bytes with <what> come on the wire
    Then the wire answers <status> with a remedy
    And no server saw it

    Examples:
      | what                 | status |
      | two framings         | 400    |
      | two lengths          | 400    |
      | a coding unknown     | 501    |
      | chunks in HTTP/1.0   | 400    |
      | a folded nonsense    | 400    |
      | two hosts            | 400    |
      | no host              | 400    |
      | dot segments         | 400    |
      | another host's URL   | 400    |
      | a strange expect     | 417    |
      | a head too long      | 431    |
      | a head never ending  | 408    |
      | a body too long      | 413    |

  Scenario: a malformed body is refused without a claim of not-run
    When raw bytes with a broken chunk come on the wire
    Then the wire answers 400 with outcome unknown

  Scenario Outline: <what> stays plain HTTP/1.1
    When raw bytes with <what> come on the wire
    Then the wire answers 200 and nothing else

    Examples:
      | what               |
      | an h2c upgrade     |
      | a websocket        |
      | a head request     |
      | trailers           |
      | two at once        |
      | an HTTP/1.0 get    |

  Scenario: forged forwarding headers are replaced
    When raw bytes with forged headers come on the wire
    Then the server saw only the entry's own

  Scenario: a body is asked for only when the request is taken
    When the wire gets an upload that expects 100-continue
    Then the wire says 100 before 200
    When the wire gets a refused upload that expects 100-continue
    Then the wire answers 413 without 100

  Scenario: an answer to an upload that is not read ends the upload
    When the wire gets an upload that is refused early
    Then the wire answers 413 before the upload's end

  Scenario: a caller that stalls in its upload is cut
    When an upload stalls on the wire
    Then the wire is closed and no slot is held

  Scenario: one caller can't take all connections
    When one caller opens more connections than it may
    Then the wire closes those beyond the limit

  Scenario: a connection that ends while idle ones are looked for
    Under load the look for idle connections met one that had just been
    closed, and failed: the listener ended, and every upload on it was cut.
    When idle connections are looked for as one has just been closed
    Then the wire still serves

  Scenario: an upload waits for its server
    The server reads nothing. What the caller sends must not pile up here.
    When an upload of 200 MB goes to a server that reads nothing
    Then the entry takes less than 20 MB of it

  Scenario: a slow reader slows only itself
    When a caller reads nothing of an answer of 200 MB
    Then the entry takes less than 20 MB of the answer
    And another caller is served meanwhile
