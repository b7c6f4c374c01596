Feature: hyssopctl asks one control instance after another
  One control instance is frozen and another cut off while an operator applies
  tables. The answer must come quickly from one that can settle it; and when none
  can, the operator must hear whether the edit may still take effect.

  Scenario Outline: instances that <states>
    Given control instances that <states>
    When hyssopctl sends an edit to these control instances
    Then hyssopctl says <outcome>

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
