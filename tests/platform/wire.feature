Feature: the platform's bodies, translated once
  A server's word that can't be read must name no server, and an invalid
  configuration must never be in force; neither may end a process.

  Scenario: a heartbeat becomes an announcement
    Given a platform heartbeat
    Then it announces a server with its own start, count and failure domain

  Scenario Outline: a heartbeat that names no server
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

  Scenario Outline: a heartbeat without a field names no server
    One that does not say whether its server is cold would make it warm.

    Given a platform heartbeat without "<field>"
    Then the platform's body is refused for "<field>"

    Examples:
      | field       |
      | cold_left_s |
      | version     |
      | sequence    |

  Scenario: a configuration is read and handed back as it was sent
    Given a platform configuration of version "00000007" on base "00000005"
    Then it is an edit of version 7 on base 5
    And its tables hold the timeouts, splits and kinds that were sent
    And it is handed back as it was sent

  Scenario Outline: an invalid configuration
    Given a platform configuration whose <what>
    Then the platform's configuration is refused

    Examples:
      | what                                   |
      | first route names an unknown service   |
      | split weights add up to 0              |
      | split holds a weight below 0           |
      | first timeout is 0                     |
      | first host is empty                    |
      | first kind is unheard of               |
      | text is cut short                      |
      | first two routes match the same        |
      | version is no number                   |

  Scenario: a patch changes named rows and leaves the others
    Given a platform configuration of version "00000007" on base "00000005"
    When a platform patch replaces route "r-2" and removes route "r-1"
    Then the patched document holds "r-2" changed and not "r-1"

  Scenario: settings become the product's own
    Given a settings file of the platform
    Then an entry finds its addresses, others and bounds in it
    And a control instance forms only at the first start

  Scenario: a settings file that misses a field stops the start
    Given a settings file of the platform without "ip"
    Then the platform's settings are refused, naming "ip"
