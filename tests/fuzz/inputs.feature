Feature: bad inputs
  A broken file, a program of another version or somebody hostile sends what no
  one expects. If it raised anything but a typed refusal, a daemon's task would
  fail over and over and take the process with it. Each input is refused with a
  clear error or means what it says; nothing else.

  Scenario Outline: <kind> from whatever bytes
    When <count> bad inputs are read as <kind>
    Then each fuzzed input was refused by a typed error or taken whole

    Examples:
      | kind            | count |
      | tables          | 1500  |
      | settings        | 1000  |
      | an announcement | 1500  |
      | a datagram      | 1500  |
      | an envelope     | 1500  |
      | a state         | 1000  |
      | a record        | 1000  |
