Feature: sites of client blocks
  A caller is steered by where its address block lies. A block put to the wrong
  site sends a shop's stock checks across the country; a table that takes a
  gigabyte, or minutes for a change, could not be kept on small instances.

  Scenario: wider and longer prefixes, both families, and gaps
    Given the client blocks
      """
      site d dar
      site m mwanza
      10.0.0.0/8 d
      10.1.0.0/16 m
      10.1.2.0/24 d
      192.0.2.128/25 m
      2001:db8::/32 d
      2001:db8:1::/48 m
      """
    Then client addresses lie at
      | address            | site |
      | 9.255.255.255      |      |
      | 10.0.0.1           | d    |
      | 10.1.0.1           | m    |
      | 10.1.2.3           | d    |
      | 10.1.3.0           | m    |
      | 10.255.255.255     | d    |
      | 11.0.0.0           |      |
      | 192.0.2.127        |      |
      | 192.0.2.128        | m    |
      | 2001:db8::1        | d    |
      | 2001:db8:1::1      | m    |
      | 2001:db8:2::1      | d    |
      | 2001:db9::1        |      |
      | ::ffff:10.1.0.1    | m    |
      | no address         |      |

  Scenario: changes are applied in order and read back from a built file
    Given the client blocks
      """
      site d dar
      site m mwanza
      10.0.0.0/16 d
      """
    When client blocks change by
      """
      10.0.4.0/22 m
      10.0.5.0/24 -
      10.0.5.128/25 d
      """
    Then client addresses lie at
      | address    | site |
      | 10.0.3.255 | d    |
      | 10.0.4.0   | m    |
      | 10.0.5.0   |      |
      | 10.0.5.128 | d    |
      | 10.0.7.255 | m    |
      | 10.0.8.0   | d    |

  Scenario Outline: a wrong line is named and nothing is loaded
    Then client blocks refuse line <line> of "<text>"

    Examples:
      | line | text                                        |
      | 2    | site d dar; 10.0.0.0/16 x                   |
      | 2    | site d dar; 10.0.0.1/16 d                   |
      | 3    | site d dar; 10.1.0.0/16 d; 10.0.0.0/16 d    |
      | 2    | site d dar; 2001:db8::/64 d                 |
      | 2    | site d dar; 0.0.0.0/0 d                     |
      | 3    | site d dar; 10.0.0.0/16 d; site m mwanza    |

  Scenario: a file cut short is refused, an appended change is taken in
    Given the client blocks
      """
      site d dar
      site m mwanza
      10.0.0.0/16 d
      """
    Then a built file of client blocks loads whole and not cut short
    And a line appended to its changes is in force, one not yet ended is not

  Scenario: changes in any order agree with a table that is not compact
    Then random client blocks and changes agree with a plain dictionary
