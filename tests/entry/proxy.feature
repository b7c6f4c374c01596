Feature: a request through an entry to servers that fail
  Servers crash, cut answers, or send the answer to another request. Guards
  against relaying such an answer as complete or as the request's own, against
  the outcome `not-run` for a request that may have run, and against running a
  request twice that may not be repeated.

  Scenario Outline: <method> with the fault <fault> at the first of two servers
    Given the data path over 2 stand-ins
    When the data path gets <method> with the fault "<fault>@s1"
    Then the data path answers <status> with outcome "<outcome>"
    And the data path ran it <runs> times
    And no slot of the data path is in use

    Examples: requests that may not be repeated
      | method | fault         | status | outcome | runs |
      | POST   | shed          | 200    |         | 1    |
      | POST   | shed-bare     | 503    |         | 0    |
      | POST   | shed-other    | 502    | unknown | 0    |
      | POST   | die-at-head   | 502    | unknown | 0    |
      | POST   | reset-at-head | 502    | unknown | 0    |
      | POST   | die           | 502    | unknown | 1    |
      | POST   | reset         | 502    | unknown | 1    |
      | POST   | crossed       | 502    | unknown | 1    |
      | POST   | cut-head      | 502    | unknown | 1    |
      | POST   | cut-length    | 502    | unknown | 1    |
      | POST   | cut-unframed  | 502    | unknown | 1    |
      | POST   | unframed      | 502    | unknown | 1    |
      | POST   | unasked-101   | 502    | unknown | 1    |
      | POST   | silent        | 504    | unknown | 1    |
      | POST   | hints         | 200    |         | 1    |
      | POST   | wrong-503     | 503    |         | 1    |
      | POST   | close-after   | 200    |         | 1    |

    Examples: requests that may be repeated
      | method | fault         | status | outcome | runs |
      | GET    | shed          | 200    |         | 1    |
      | GET    | shed-other    | 200    |         | 1    |
      | GET    | die-at-head   | 200    |         | 1    |
      | GET    | die           | 200    |         | 2    |
      | GET    | reset         | 200    |         | 2    |
      | GET    | crossed       | 200    |         | 2    |
      | GET    | cut-head      | 200    |         | 2    |
      | GET    | cut-length    | 200    |         | 2    |
      | GET    | cut-unframed  | 200    |         | 2    |
      | GET    | unasked-101   | 200    |         | 2    |
      | GET    | silent        | 200    |         | 2    |

  Scenario Outline: a path that no route matches if <condition>
    Given the data path over 1 stand-ins
    And the data path's entry <fetching> a newer revision
    When the data path gets GET of a path that no route matches
    Then the data path answers <status> with outcome "not-run"
    And the data path ran it 0 times

    Examples:
      | condition                         | fetching    | status |
      | the newest revision is in force   | fetches no  | 404    |
      | a newer revision is being fetched | is fetching | 503    |

  # Guards against serving a path on a route whose prefix doesn't begin it.
  Scenario Outline: <target> with the only route <prefix> is answered <status>
    Given the data path over 1 stand-ins
    And the data path's only route has the prefix "<prefix>"
    When the data path gets GET of "<target>"
    Then the data path answers <status> with outcome "<outcome>"
    And the data path ran it <runs> times

    Examples:
      | prefix  | target       | status | outcome | runs |
      | /shop/  | /shop%2F2026 | 404    | not-run | 0    |
      | /shop/  | /%73hop/2026 | 404    | not-run | 0    |
      | /shop/  | /shop/a%2Fb  | 200    |         | 1    |
      | /a%20b/ | /a%20b/1     | 200    |         | 1    |

  Scenario Outline: the caller recognises an answer <fault> as cut
    Given the data path over 1 stand-ins
    When the data path gets <method> with the fault "<fault>"
    Then the answer of the data path is cut

    Examples:
      | method | fault       |
      | GET    | cut-long    |
      | GET    | cut-chunked |
      | POST   | cut-long    |
      | POST   | cut-chunked |

  Scenario: the connection of an HTTP/1.0 caller is reset after a cut answer
    Given the data path over 1 stand-ins
    When the data path gets raw bytes
      """
      GET / HTTP/1.0
      host: shop.example
      standin-fault: cut-chunked

      """
    Then the connection of the caller is reset

  Scenario: a request that may have run is not `not-run` without a second server
    The only server crashes after it ran the request. That no other server is
    left for a retry does not prove that the request did not run.
    Given the data path over 1 stand-ins
    When the data path gets DELETE with the fault "die"
    Then the data path answers 502 with outcome "unknown"
    And the data path ran it 1 times

  Scenario: bytes after an answer are not read as the next answer
    Given the data path over 1 stand-ins
    When the data path gets GET with the fault "stray"
    And the data path gets GET with the fault ""
    Then the data path answers 200 with outcome ""
    And the answer is not that of another request

  Scenario: a POST is not sent on an idle connection
    A server may close an idle connection at the moment in which a request is
    written to it. The request is lost, and whether it ran is unknown.
    Given the data path over 1 stand-ins
    When the data path gets GET with the fault ""
    And the server closes its connections without the entry noticing
    And the data path gets POST with the fault ""
    Then the data path answers 200 with outcome ""

  Scenario: a disconnect of the caller cancels its request
    Given the data path over 1 stand-ins
    When a caller disconnects while its request runs
    Then the request is cancelled at the server
    And no slot of the data path is in use

  Scenario: refused callers do not retry at the same time
    Given the data path over 0 stand-ins
    When the data path gets 40 requests at once
    Then their retry-after times differ

  Scenario: a complete answer is counted as answered
    Guards against dropping the event of a complete answer: it has no fields, so
    it is an empty tuple, which is falsy. Without the event, metrics and claims
    have the outcome `unknown` for all answered requests.

    Given the data path over 1 stand-ins
    When the data path gets POST with the fault ""
    Then the data path counts 1 request as "answered" and none as "unknown"

  # Guards against forwarding a quarantined request, and refusing others.
  Scenario Outline: a quarantined body of <size> bytes <framing>, repeated <how>
    Given the data path over 2 stand-ins
    When the data path quarantines a POST of <size> bytes, sent <framing>
    And that POST is repeated <how>
    Then the data path answers <status> with outcome "<outcome>"
    And the data path ran it <runs> times

    Examples:
      | size   | framing     | how                | status | outcome | runs |
      | 0      | with length | unchanged          | 503    | not-run | 0    |
      | 100    | with length | unchanged          | 503    | not-run | 0    |
      | 100    | in chunks   | unchanged          | 503    | not-run | 0    |
      | 200000 | with length | unchanged          | 503    | not-run | 0    |
      | 200000 | in chunks   | unchanged          | 503    | not-run | 0    |
      | 100    | with length | in another framing | 503    | not-run | 0    |
      | 100    | with length | with another body  | 200    |         | 1    |
      | 200000 | in chunks   | with another body  | 200    |         | 1    |

  # Guards against a retry of a request that was quarantined while it ran.
  Scenario: a request that is quarantined as it runs is not retried
    Given the data path over 2 stand-ins
    When a GET is quarantined as it crashes the first of two servers
    Then the data path answers 502 with outcome "unknown"
    And the data path ran it 1 times

  # Guards against a cut connection when the body is found to exceed the limit
  # while it is buffered for the fingerprint, before a slot is acquired.
  Scenario: a quarantined POST is repeated with a body that is too long
    Given the data path over 2 stand-ins, with bodies of at most 1000 bytes
    When the data path quarantines a POST of 900 bytes, sent in chunks
    And that POST is repeated with 5000 bytes
    Then the data path answers 413 with outcome "not-run"
    And the data path ran it 0 times

  # Guards against sending a request that was quarantined as it waited.
  Scenario: a request that is quarantined as it waits for a slot is not sent
    Given the data path over 2 stand-ins
    When a GET is quarantined as it waits for a slot
    Then the data path answers 503 with outcome "not-run"
    And the data path ran it 0 times
    And no slot of the data path is in use
