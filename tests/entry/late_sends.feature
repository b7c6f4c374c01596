Feature: requests that are sent long after their server was chosen
  A request is sent to its server with the first part of its body. A caller may
  send that seconds after the head; a new connection may take as long.

  # Guards against requests to a server that left after it was chosen.
  Scenario Outline: the server <change> before the caller sends the body
    Given one running entry over 2 servers
    When a caller sends the head of an upload
    And the server chosen for it <change>
    And the caller sends the body 0.5 s later
    Then the other server answers the upload
    And the chosen server got no request

    Examples:
      | change                  |
      | leaves                  |
      | is gone                 |
      | starts again as another |

  # Guards against requests to a domain that was evacuated after the choice.
  Scenario: the server's domain is evacuated before the caller sends the body
    Given one running entry over 2 servers
    When a caller sends the head of an upload
    And the failure domain of the server chosen for it is evacuated
    And the caller sends the body 0.5 s later
    Then the other server answers the upload
    And the chosen server got no request

  Scenario: the server is still ready when the caller sends the body
    Given one running entry over 2 servers
    When a caller sends the head of an upload
    And the caller sends the body 0.5 s later
    Then the chosen server answers the upload
