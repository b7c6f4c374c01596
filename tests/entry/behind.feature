Feature: requests behind others, through an entry to its servers
  Three pages asked for at once on one connection took three times as long as
  one, though servers were free. A payment behind them must still go alone.

  Scenario: pages go to servers side by side, a payment after them
    Given the data path over servers that take 0.3 s
    When three pages and a payment are sent at once on one connection
    Then four answers come in order within 0.8 s
    And the payment reached a server once all pages were answered
    And the log tells how many requests each stood behind

  Scenario Outline: <what> does not run beside others
    Then the data path lets <what> run beside others: no

    Examples:
      | what                    |
      | a POST                  |
      | a GET with a body       |
      | a GET with no host      |

  Scenario: a page runs beside others
    Then the data path lets a GET run beside others: yes
