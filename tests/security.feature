Feature: who may talk to the system
  Someone on the network sends an edit, a false announcement or a datagram
  recorded yesterday. Keys, tokens and certificates are replaced while the
  processes run, and a half-written file must lock no one out.

  Scenario: sealed messages
    Given a keyring and messages sealed by a peer with the same key
    Then the keyring opens each sealed message once
    And the keyring refuses one changed, cut, of another kind, old or early
    And the keyring without keys opens sealed and plain messages

  Scenario: a flood of sealed messages
    Given a keyring and messages sealed by a peer with the same key
    Then the keyring remembers no more proofs than its bound

  Scenario: random bytes as sealed messages
    Given a keyring and messages sealed by a peer with the same key
    Then the keyring refuses random bytes with its own error

  Scenario Outline: a token is asked for
    Given a token guard with tokens "operator-token-one" and "operator-token-two"
    When a request shows the token header "<header>"
    Then the token guard's verdict is "<verdict>"

    Examples:
      | header                    | verdict |
      | Bearer operator-token-one | passes  |
      | bearer operator-token-two | passes  |
      | Bearer operator-token-on  | 401     |
      | Bearer                    | 401     |
      | Basic operator-token-one  | 401     |
      | none                      | 401     |

  Scenario: files are replaced, spoilt and mended
    Given a token file that a guard was loaded from
    When the token file is replaced, then spoilt, then removed, then mended
    Then the token guard followed the good files and kept the last good one

  Scenario: an operators' API with tokens and TLS
    Given a system whose control instance has tokens and a certificate
    When operators with and without the token connect over TLS
    Then only the operator with the token was let through
    And after the certificate was replaced new connections see the new one

  Scenario: mutual TLS between processes
    Given a link server with a certificate that asks for one
    When peers with a certificate of ours, a stranger's and none call it
    Then only the peer with a certificate of ours was answered

  Scenario: settings that name unusable files
    When settings name a short key, a missing token file and a certificate
    Then each unusable file is told with its remedy and no key is shown
