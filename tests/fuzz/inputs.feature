Feature: bad inputs
  Damaged files, other versions of the program and attackers produce unexpected
  input. If it raised anything but a typed error, a task of the daemon would
  keep failing and end the process. Each input is either refused with a typed
  error or accepted.

  Scenario Outline: <kind> from random bytes
    When <count> bad inputs are read as <kind>
    Then each fuzzed input was refused by a typed error or accepted

    Examples:
      | kind            | count |
      | tables          | 1500  |
      | settings        | 1000  |
      | an announcement | 1500  |
      | a datagram      | 1500  |
      | an envelope     | 1500  |
      | a state         | 1000  |
      | a record        | 1000  |
