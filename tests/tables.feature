Feature: tables of routes and pools
  An operator makes a typing error in the tables. If only the valid rows were
  accepted, some callers would be routed by rows that the operator did not
  intend. The whole file is refused, and every fault is listed with its line.

  Scenario: valid tables are unchanged by encoding and decoding
    Given the tables of "examples/mrema.yaml"
    Then they are read back unchanged from YAML and from the canonical encoding

  Scenario: the tables of the second example are valid
    Given the tables of "examples/recarga.yaml"
    Then they are read back unchanged from YAML and from the canonical encoding

  Scenario: tables with organisations are unchanged by encoding and decoding
    Given the tables of "examples/organisations.yaml"
    Then they are read back unchanged from YAML and from the canonical encoding

  Scenario: tables without organisations are encoded as by earlier releases
    Those refuse a row with more fields than they know.
    Given the tables of "examples/mrema.yaml"
    Then a route is encoded in 14 fields, and the tables in 2

  Scenario: every fault of an organisation is listed, without its keys
    When these tables are checked
      """
      pools:
        - {name: ledger, slots: 3}
      organisations:
        - {name: press, keys: [secret-1, "two words"]}
        - {name: school, keys: [secret-2, secret-1]}
        - {name: press, keys: [secret-3, secret-3]}
        - {name: club, keys: [secret-4], rate: -1, burst: many}
        - {name: guild}
      """
    Then the faults are
      | line | where                    |
      | 4    | organisations[0].keys[1] |
      | 7    | organisations[3].rate    |
      | 7    | organisations[3].burst   |
      | 8    | organisations[4].keys    |
      | 5    | organisations[1].keys    |
      | 6    | organisations[2].name    |
    And no fault names "secret" or "two words"

  Scenario: every fault is listed with its line
    When these tables are checked
      """
      pools:
        - {name: ledger, slots: many, sluts: 3}
      routes:
        - {name: pay, pool: leger, path_prefix: payments}
      """
    Then the faults are
      | line | where                 |
      | 2    | pools[0].slots        |
      | 2    | pools[0].sluts        |
      | 4    | routes[0].path_prefix |
      | 4    | routes[0].pool        |

  Scenario: a document of nested aliases is refused before it expands
    When these tables are checked
      """
      a: &a [x, x]
      b: [*a, *a]
      """
    Then the faults are
      | line | where    |
      | 2    | document |

  Scenario: a too deeply nested document is refused
    When tables nested 200 deep are checked
    Then 1 fault is found

  Scenario: two routes that match the same requests are refused
    When these tables are checked
      """
      pools:
        - {name: ledger, slots: 3}
      routes:
        - {name: one, pool: ledger, methods: [GET]}
        - {name: two, pool: ledger, methods: [GET]}
      """
    Then the faults are
      | line | where     |
      | 5    | routes[1] |
