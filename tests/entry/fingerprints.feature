Feature: fingerprints identify requests that are sent again

  # Guards against equal fingerprints of different requests, and against
  # different fingerprints of the same request.
  Scenario Outline: two requests that differ in <part>
    Given a request of a caller
    When it is sent again with another <part>
    Then its fingerprint is that of <verdict> request

    Examples:
      | part             | verdict     |
      | request id       | the same    |
      | deadline         | the same    |
      | address          | the same    |
      | chunking         | the same    |
      | method           | a different |
      | host             | a different |
      | path             | a different |
      | query            | a different |
      | cookie           | a different |
      | authorization    | a different |
      | body             | a different |
      | tail of 1 MB     | the same    |
      | length of 1 MB   | the same    |
      | framing          | the same    |

  # Guards against a fingerprint of a body that was read only in part.
  Scenario: a request without its whole body has no fingerprint
    Given a request of a caller
    When a part of its body is missing
    Then it has no fingerprint
