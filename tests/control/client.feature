Feature: hyssopctl tries one control instance after another
  One control instance is frozen and another one is cut off while an operator
  applies tables. An instance that can settle the edit must answer it soon. If
  there is none, hyssopctl must report whether the edit may still take effect.

  Scenario Outline: instances that <states>
    Given control instances that <states>
    When hyssopctl sends an edit to these control instances
    Then hyssopctl reports <outcome>

    Examples:
      | states                     | outcome        |
      | accept                     | accepted       |
      | are dead, accept           | accepted       |
      | are silent, accept         | accepted       |
      | refuse, accept             | accepted       |
      | do not know, accept        | accepted       |
      | are silent, conflict       | conflict       |
      | are dead, refuse           | not-accepted   |
      | are dead, are dead         | peer-unavailable |
      | are silent, refuse         | outcome-unknown |
      | do not know, refuse        | outcome-unknown |
      | garble, refuse             | outcome-unknown |
