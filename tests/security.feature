Feature: authentication of peers, operators and backend servers
  An attacker on the network may send an edit, a forged announcement or a
  datagram recorded the day before. Keys, tokens and certificates are replaced
  while the processes run, and a half-written file must not disable access.

  Scenario: sealed messages
    Given a keyring and messages sealed by a peer with the same key
    Then the keyring opens each sealed message once
    And the keyring refuses changed, cut, old and early messages and other types
    And the keyring without keys opens sealed and plain messages

  Scenario: the memory of a keyring is bounded under many messages
    Given a keyring and messages sealed by a peer with the same key
    Then the keyring remembers no more MACs than its limit

  Scenario: random bytes instead of sealed messages
    Given a keyring and messages sealed by a peer with the same key
    Then the keyring refuses random bytes with its own error

  Scenario Outline: requests need a valid token
    Given a token guard with tokens "operator-token-one" and "operator-token-two"
    When a request has the authorization header "<header>"
    Then the result of the token guard is "<result>"

    Examples:
      | header                    | result  |
      | Bearer operator-token-one | passes  |
      | bearer operator-token-two | passes  |
      | Bearer operator-token-on  | 401     |
      | Bearer                    | 401     |
      | Basic operator-token-one  | 401     |
      | none                      | 401     |

  Scenario: a token file is replaced, damaged, removed and restored
    Given a token guard loaded from a token file
    When the token file is replaced, then damaged, then removed, then restored
    Then the token guard used each valid file and kept the last valid tokens

  Scenario: an operators' API with tokens and TLS
    Given a system whose control instance has tokens and a certificate
    When operators with and without the token connect over TLS
    Then only the operator with the token was accepted
    And new connections get the new certificate after it was replaced

  Scenario: mutual TLS between processes
    Given an rpc server with a certificate that requires client certificates
    When peers with a valid, a foreign and no certificate call the rpc server
    Then only the peer with the valid certificate was answered

  Scenario: settings that name files which cannot be used
    When settings name a short key, a missing token file and a certificate
    Then each unusable file is reported with a remedy and no key is shown

  Scenario: the whole path with sealed messages and mutual TLS
    Given a system whose processes share keys and use certificates
    When the tables of "examples/mrema.yaml" are applied and requests sent
    Then every request was served with its own whole answer
