Feature: table of client blocks
  The address block of a caller determines its site and home region. A block
  with a wrong site sends requests to a distant region. A table that takes a
  gigabyte of memory, or minutes for a change, doesn't fit small instances.

  Scenario: nested prefixes, IPv4 and IPv6, and gaps between prefixes
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
    Then client addresses belong to the sites
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

  Scenario: changes are applied in order
    Given the client blocks
      """
      site d dar
      site m mwanza
      10.0.0.0/16 d
      """
    When the client blocks are changed by
      """
      10.0.4.0/22 m
      10.0.5.0/24 -
      10.0.5.128/25 d
      """
    Then client addresses belong to the sites
      | address    | site |
      | 10.0.3.255 | d    |
      | 10.0.4.0   | m    |
      | 10.0.5.0   |      |
      | 10.0.5.128 | d    |
      | 10.0.7.255 | m    |
      | 10.0.8.0   | d    |

  Scenario Outline: an invalid line is named and no table is returned
    Then the client blocks parser refuses line <line> of "<text>"

    Examples:
      | line | text                                        |
      | 2    | site d dar; 10.0.0.0/16 x                   |
      | 2    | site d dar; 10.0.0.1/16 d                   |
      | 3    | site d dar; 10.1.0.0/16 d; 10.0.0.0/16 d    |
      | 2    | site d dar; 2001:db8::/64 d                 |
      | 2    | site d dar; 0.0.0.0/0 d                     |
      | 3    | site d dar; 10.0.0.0/16 d; site m mwanza    |

  Scenario: a truncated file is refused, an appended change is applied
    Given the client blocks
      """
      site d dar
      site m mwanza
      10.0.0.0/16 d
      """
    Then a built file of client blocks is loaded, a truncated one is refused
    And a line appended to its changes is in force, an incomplete line is not

  Scenario: random blocks and changes give the same sites as a plain search
    Then random client blocks and changes agree with a search of all prefixes
