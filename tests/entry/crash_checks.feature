Feature: checks whether a server crashed or lost a single answer

  # Guards against counting a lost answer as a crash, and against not counting a
  # crash.
  Scenario Outline: a connection breaks by the fault <fault>
    Given the data path over 2 stand-ins
    When the data path gets <method> with the fault "<fault>@s1"
    And the data path's checks are done
    Then the data path counts <crashes> crashed requests

    Examples:
      | method | fault      | crashes |
      | GET    | crash      | 1       |
      | POST   | crash      | 1       |
      | GET    | die        | 0       |
      | GET    | reset      | 0       |
      | POST   | die        | 0       |
      | GET    | cut-length | 0       |
      | GET    | shed       | 0       |
