Feature: a request through an entry over servers that fail
  A student pays and the server dies, answers with another client's payment,
  or breaks off midway. She must never see another's answer, nor a part of
  one as the whole, nor be told `not run` of what may have run; and the
  payment must not be taken twice.

  Scenario Outline: <method> meets <fault> at the first of two servers
    Given the data path over 2 stand-ins
    When the data path gets <method> with the fault "<fault>@s1"
    Then the data path answers <status> with outcome "<outcome>"
    And the data path ran it <runs> times
    And the data path holds no slot

    Examples: what may not be repeated
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

    Examples: what may be repeated
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

  Scenario Outline: a path that no route matches while <known>
    Given the data path over 1 stand-ins
    And the data path's entry <knows> a newer revision
    When the data path gets GET of a path without a route
    Then the data path answers <status> with outcome "not-run"
    And the data path ran it 0 times

    Examples:
      | known                              | knows        | status |
      | the newest revision is in force    | knows no     | 404    |
      | a newer one is still being fetched | has heard of | 503    |

  Scenario Outline: an answer <fault> reaches the caller as cut
    Given the data path over 1 stand-ins
    When the data path gets <method> with the fault "<fault>"
    Then the data path's answer is cut

    Examples:
      | method | fault       |
      | GET    | cut-long    |
      | GET    | cut-chunked |
      | POST   | cut-long    |
      | POST   | cut-chunked |

  Scenario: a cut answer to an HTTP/1.0 caller ends in a reset
    Given the data path over 1 stand-ins
    When the data path gets raw bytes
      """
      GET / HTTP/1.0
      host: shop.example
      standin-fault: cut-chunked

      """
    Then the data path's connection ends by a reset

  Scenario: what may have run is not called not-run when no server is left
    A manuscript is deleted; the only server dies after doing so. There is
    no second server to ask, which is no proof that the first did nothing.
    Given the data path over 1 stand-ins
    When the data path gets DELETE with the fault "die"
    Then the data path answers 502 with outcome "unknown"
    And the data path ran it 1 times

  Scenario: bytes after an answer are never another request's answer
    Given the data path over 1 stand-ins
    When the data path gets GET with the fault "stray"
    And the data path gets GET with the fault ""
    Then the data path answers 200 with outcome ""
    And the data path's answer is not another's

  Scenario: a payment never goes on a connection that has rested
    The server closes an unused connection in the moment in which the payment
    is written on it. The payment is gone, and nobody knows whether it ran.
    Given the data path over 1 stand-ins
    When the data path gets GET with the fault ""
    And the data path's server closes its connections unseen
    And the data path gets POST with the fault ""
    Then the data path answers 200 with outcome ""

  Scenario: a caller that leaves takes its request along
    Given the data path over 1 stand-ins
    When a caller of the data path leaves while its request runs
    Then the data path's server saw the request cancelled
    And the data path holds no slot

  Scenario: refused callers do not come back together
    Given the data path over 0 stand-ins
    When the data path gets 40 requests at once
    Then the data path spreads their retry-after

  Scenario: a whole answer is counted as one
    The metrics called every answered payment `unknown`, and so did the claim
    on its key: the event that ends an answer has no fields, an empty tuple is
    false, and it was dropped as no event.

    Given the data path over 1 stand-ins
    When the data path gets POST with the fault ""
    Then the data path counts 1 request as "answered" and none as "unknown"

  # Guards against sending on, or wrongly refusing, what crashed servers before.
  Scenario Outline: a held-back body of <size> bytes <framing> comes again <how>
    Given the data path over 2 stand-ins
    When the data path holds back a POST of <size> bytes, sent <framing>
    And that POST comes again <how>
    Then the data path answers <status> with outcome "<outcome>"
    And the data path ran it <runs> times

    Examples:
      | size   | framing     | how                | status | outcome | runs |
      | 0      | with length | as it was          | 503    | not-run | 0    |
      | 100    | with length | as it was          | 503    | not-run | 0    |
      | 100    | in chunks   | as it was          | 503    | not-run | 0    |
      | 200000 | with length | as it was          | 503    | not-run | 0    |
      | 200000 | in chunks   | as it was          | 503    | not-run | 0    |
      | 100    | with length | in another framing | 503    | not-run | 0    |
      | 100    | with length | with another body  | 200    |         | 1    |
      | 200000 | in chunks   | with another body  | 200    |         | 1    |

  # Guards against a retry of what was held back while it ran.
  Scenario: a request that is held back as it runs is not sent again
    Given the data path over 2 stand-ins
    When a GET is held back as it crashes the first of two servers
    Then the data path answers 502 with outcome "unknown"
    And the data path ran it 1 times

  # Guards against a connection cut for a body that is found too long early.
  Scenario: a held-back POST comes again with a body that is too long
    Given the data path over 2 stand-ins that takes bodies of 1000 bytes
    When the data path holds back a POST of 900 bytes, sent in chunks
    And that POST comes again with 5000 bytes
    Then the data path answers 413 with outcome "not-run"
    And the data path ran it 0 times

  # Guards against a request that is held back while it waits for a slot.
  Scenario: a request that is held back as it waits for a slot is not sent
    Given the data path over 2 stand-ins
    When a GET is held back as it waits for a slot
    Then the data path answers 503 with outcome "not-run"
    And the data path ran it 0 times
    And the data path holds no slot
