Feature: printed tables can be applied again
  An operator prints the tables, edits a row and applies the file. While a
  failure domain was evacuated the file was refused, since it contained the
  evacuation, which is not part of the tables.

  Scenario Outline: tables <what> are applied as they were printed
    Given a state with tables <what>
    When its tables are printed by hyssopctl and read back
    Then the tables read back are the ones printed
    And an edit of them leaves the state's evacuations in force

    Examples:
      | what                              |
      | alone                             |
      | beside two evacuations            |
      | beside two evacuations and shifts |
