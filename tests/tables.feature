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
