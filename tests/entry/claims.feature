Feature: a caller sends its request again under the same key
  A franchisee confirms an order and the answer is lost on its way. Her
  counter sends the order again, through the same entry or another one of the
  region. She must not be charged twice, nor be told `not run` of an order
  that did run.

  Scenario: through the same entry, after an answer
    Given the data path over 2 stand-ins
    When the data path gets the key "order-1"
    And the data path gets the key "order-1"
    Then the data path answers 409 with outcome "unknown"
    And the data path ran it 1 times

  Scenario: a request that did not run frees its key
    Given the data path over 1 stand-ins
    When the data path meets "shed" under the key "order-2"
    And the data path gets the key "order-2"
    Then the data path answers 200 with outcome ""
    And the data path ran it 1 times

  Scenario: another request under a used key is not run
    Given the data path over 1 stand-ins
    When the data path gets the key "order-3"
    And the data path is asked for another path under the key "order-3"
    Then the data path answers 422 with outcome "not-run"
    And the data path ran it 1 times

  Scenario Outline: through another entry <when>
    Given entries 1 to 5 that hold claims
    When entry 1 was granted the key and it is <state>
    And <when>
    Then another entry refuses the key as "<kind>"

    Examples:
      | when                               | state    | kind     |
      | nothing else happens               | running  | running  |
      | nothing else happens               | answered | answered |
      | nothing else happens               | unknown  | unknown  |
      | the key's first holder dies        | answered | answered |
      | the key's first holder is back     | answered | answered |
      | the key's second holder is back    | running  | running  |
      | the key's first holder is cut off  | running  | running  |
      | the key's first holder leaves      | answered | answered |
      | both holders leave, one by one     | answered | answered |
      | a new entry comes                  | answered | answered |
      | both holders are cut off           | running  | unreachable |

  Scenario: an entry that may have lost a claim grants nothing
    Given entries 1 to 5 that hold claims
    When both holders are cut off
    Then another entry refuses the key as "unreachable"
