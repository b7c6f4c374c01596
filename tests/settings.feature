Feature: settings are checked as a whole before anything starts
  A settings file may have several faults. If they were reported one at a time,
  the operator would restart once for each; if they were not reported, the
  process would run with defaults.

  Scenario: every fault at once, with its line
    Given control settings with faults of many kinds
    When the faulty settings are checked
    Then every settings fault is reported once with its line and what is allowed

  Scenario Outline: values that are not allowed
    Given entry settings in which "<key>" is "<value>"
    When the faulty settings are checked
    Then the settings fault names "<key>" and allows "<allowed>"

    Examples:
      | key                  | value                  | allowed                   |
      | http_address         | 127.0.0.1:0            | an IP address and port     |
      | http_address         | localhost:80           | an IP address and port     |
      | lease_s              | 0.5                    | 2 or more                 |
      | lease_s              | .nan                   | a number from             |
      | poll_s               | 1e9                    | a number from 0.1 to 60   |
      | tls_certificate_file | a.pem                  | go together               |
      | rpc_address          | 127.0.0.1:7000         | other than http_address   |
      | unheard_of           | 1                      | one of                    |

  Scenario: a start warns of actions that need no authentication
    Given entry settings in which "http_address" is "192.0.2.1:80"
    Then the settings have the warning that anyone may announce
