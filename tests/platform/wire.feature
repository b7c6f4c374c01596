Feature: bodies of the platform's calls are decoded and converted
  A malformed heartbeat must not add a server to the directory, an invalid
  configuration must not come into force, and neither may end a process.

  Scenario: a heartbeat is converted to an announcement
    Given a platform heartbeat
    Then it announces a server with its start, sequence number and failure domain

  Scenario Outline: a heartbeat with an invalid field is refused
    Given a platform heartbeat in which "<field>" is <value>
    Then the platform's body is refused for "<field>"

    Examples:
      | field    | value       |
      | state    | "asleep"    |
      | zone     | "elsewhere" |
      | slots    | "many"      |
      | service  | null        |
      | addr     | "nowhere"   |
      | sequence | -1          |

  Scenario Outline: a heartbeat with a missing field is refused
    These fields have no safe default: if cold_left_s defaulted to 0, a cold
    server would count as warm.

    Given a platform heartbeat without "<field>"
    Then the platform's body is refused for "<field>"

    Examples:
      | field       |
      | cold_left_s |
      | version    |
      | sequence    |

  Scenario: a configuration is decoded and returned as it was sent
    Given a platform configuration of version "00000007" on base "00000005"
    Then it is an edit of version 7 on base 5
    And its tables have the timeouts, splits and kinds that were sent
    And it is returned as it was sent

  Scenario Outline: an invalid configuration is refused
    Given a platform configuration whose <defect>
    Then the platform's configuration is refused

    Examples:
      | defect                                 |
      | first route names an unknown service   |
      | split weights add up to 0              |
      | split has a weight below 0             |
      | first timeout is 0                     |
      | first host is empty                    |
      | first kind is unknown                  |
      | text is truncated                      |
      | first two routes match the same        |
      | version is not a number                |
      | tenants share a key                    |
      | first tenant has a negative rate       |
      | tenants have the same name             |

  Scenario: organisations are decoded, and their keys are returned as sent
    Given a platform configuration with tenants
    Then its tables have the organisations that were sent
    And it is returned as it was sent

  Scenario: a refused configuration does not show its keys
    Given a platform configuration whose tenants share a key
    Then the refusal does not contain the key

  Scenario: keys come and go by patches
    Given a platform configuration with tenants
    When a platform patch gives tenant "press" the keys "k-9" only
    Then the organisation "press" has the keys "k-9"

  Scenario: a patch changes the named rows and keeps the others
    Given a platform configuration of version "00000007" on base "00000005"
    When a platform patch replaces route "r-2" and removes route "r-1"
    Then the patched document contains "r-2" changed and not "r-1"

  Scenario: the platform's settings are translated
    Given a settings file of the platform
    Then an entry's settings have its addresses, seeds and bounds
    And a control instance forms a cluster only at the first start

  Scenario Outline: bounds on organisations are translated
    Given a settings file of the platform with the bounds "<bounds>"
    Then keys are valid for <age> s without control, and the slack is <slack>

    Examples:
      | bounds                                          | age | slack |
      | quota_slack=20, strict_revoke=false, revoke_s=5 | 0   | 20    |
      | quota_slack=20, strict_revoke=true, revoke_s=4  | 4   | 20    |
      | strict_revoke=true                              | 5   | 0     |
      | grace_s=6                                       | 0   | 0     |

  Scenario: a stop of a control instance answers the orders that it has
    Its time was shorter than an order may take: an operator got no answer to
    an order that was then in force.
    Given a settings file of the platform
    Then a control instance's stop outlasts an order, and ends before the kill

  Scenario: a settings file without a required field is refused
    Given a settings file of the platform without "ip"
    Then the platform's settings are refused, naming "ip"

  # Guards against a server's limit that the data path of the platform ignores.
  Scenario: the limit that a server names in its answers is read
    When a platform server answers with the headers "Server-Load: 1,0,3" and "Server-Limit: 4.8"
    Then the answer's rate limit is 4.8, and its load 1 of 3 slots
