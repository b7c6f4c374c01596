Feature: each daemon imports its own modules only
  Importing modules takes most of the time of a start. After a power loss
  hundreds of processes start at once, each on a fraction of a core.

  Scenario Outline: an <daemon> imports nothing of <foreign>
    When the modules of an <daemon> are imported in a new process
    Then no imported module begins with "<foreign>"

    Examples:
      | daemon           | foreign                           |
      | entry            | hyssopfold.control                |
      | entry            | hyssopfold.storage                |
      | entry            | hyssopfold.core.consensus         |
      | entry            | hyssopfold.core.balancing.grantor |
      | entry            | httpcore                          |
      | control instance | hyssopfold.entry                  |
      | control instance | hyssopfold.core.steering.shares   |
      | control instance | hyssopfold.core.balancing.local   |
