Feature: what an edit of the tables would change
  Operators compare a file with the tables in force before they apply it. The
  output goes into chats and tickets, so it names no key.

  Scenario Outline: differences of tables
    Given an edit that <edit>
    When it is compared with the tables in force
    Then the differences are "<lines>"

    Examples:
      | edit                   | lines                                                     |
      | changes nothing        |                                                           |
      | sets a rate            | ~ organisations.press.rate: 20.0 -> 30.0                  |
      | sets a priority        | ~ organisations.press.priority: none -> 2                 |
      | replaces a key         | ~ organisations.press.keys: 1 added, 1 removed            |
      | reverses the keys      | ~ organisations.press.keys: other order                   |
      | removes a route        | - routes.orders                                           |
      | adds an organisation   | + organisations.radio                                     |
      | removes the table      | - organisations.press                                     |
      | changes several tables | - routes.orders; ~ organisations.press.rate: 20.0 -> 30.0 |

  Scenario: the command prints the differences and the revision
    Given an edit that replaces a key
    When hyssopctl compares the file of the edit with revision 7
    Then it prints "~ organisations.press.keys: 1 added, 1 removed; compared with revision 7"
    And no key is printed
