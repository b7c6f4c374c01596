Feature: a caller resends a request with the same idempotency key
  A caller whose answer is lost resends the request through the same entry or
  through another entry of the region. Guards against running the request twice,
  and against reporting `not-run` for a request that did run.

  Scenario: a resend through the same entry after an answer
    Given the data path over 2 stand-ins
    When the data path gets a request with the key "order-1"
    And the data path gets a request with the key "order-1"
    Then the data path answers 409 with outcome "unknown"
    And the data path ran it 1 times

  Scenario: a request that did not run frees its key
    Given the data path over 1 stand-ins
    When the data path gets a request that meets "shed" with the key "order-2"
    And the data path gets a request with the key "order-2"
    Then the data path answers 200 with outcome ""
    And the data path ran it 1 times

  Scenario: another request with a used key is not run
    Given the data path over 1 stand-ins
    When the data path gets a request with the key "order-3"
    And the data path gets a request for another path with the key "order-3"
    Then the data path answers 422 with outcome "not-run"
    And the data path ran it 1 times

  Scenario Outline: a resend through another entry, <when>
    Given entries 1 to 5 as holders of claims
    When entry 1 is granted the key and its request is <state>
    And <when>
    Then another entry refuses the key as "<kind>"

    Examples:
      | when                                  | state    | kind        |
      | nothing else happens                  | running  | running     |
      | nothing else happens                  | answered | answered    |
      | nothing else happens                  | unknown  | unknown     |
      | the key's first holder crashes        | answered | answered    |
      | the key's first holder restarts       | answered | answered    |
      | the key's second holder restarts      | running  | running     |
      | the key's first holder is unreachable | running  | running     |
      | the key's first holder leaves         | answered | answered    |
      | both holders leave, one by one        | answered | answered    |
      | a new entry joins                     | answered | answered    |
      | both holders are unreachable          | running  | unreachable |

  Scenario: without a reachable holder a key is refused
    Given entries 1 to 5 as holders of claims
    When both holders are unreachable
    Then another entry refuses the key as "unreachable"
