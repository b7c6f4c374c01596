Feature: each daemon loads its own parts only
  Loading modules is most of a start; hundreds of processes start at once after
  a loss of power, on a fraction of a core each.

  Scenario Outline: an <daemon> loads nothing of <foreign>
    When the modules of an <daemon> are loaded in a fresh process
    Then none of them begins with "<foreign>"

    Examples:
      | daemon           | foreign                           |
      | entry            | hyssopfold.control                |
      | entry            | hyssopfold.storage                |
      | entry            | hyssopfold.core.consensus         |
      | entry            | hyssopfold.core.balancing.grantor |
      | control instance | hyssopfold.entry                  |
      | control instance | hyssopfold.core.steering.shares   |
      | control instance | hyssopfold.core.balancing.local   |
