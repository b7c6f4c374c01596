Feature: a starting entry takes over the shares of a running one
  An entry that restarts during a shift has lost its progress. Its plan and its
  own clock may say something else than what is in force.

  # Guards against an entry that goes by its own clock since it asks another at
  # an address that serves something else to callers.
  Scenario Outline: an entry restarts during a shift, with <adapters> adapters
    Given two running entries in a shift and a starting one, with <adapters> adapters
    When the starting entry is ready
    Then it has the shares of the running ones

    Examples:
      | adapters       |
      | hyssopfold's   |
      | the platform's |

  # Guards against taking something for shares that are none, and against giving
  # up at the first entry that tells none.
  Scenario Outline: the first entry that is asked <fault>
    Given two running entries in a shift and a starting one, with the platform's adapters
    And the first entry that is asked <fault>
    When the starting entry is ready
    Then it has the shares of the running ones
    And it has logged that the first told none: "<reason>"

    Examples:
      | fault                                  | reason        |
      | doesn't know the call                  | Status.       |
      | fails                                  | Status.       |
      | gives an answer of another form        | Expected      |
      | has no address for calls               | serves no     |
      | doesn't answer within the time allowed | Deadline      |

  # Guards against asking none but those that are known at first.
  Scenario: the first entry tells none before another is known
    Given two running entries in a shift and a starting one, with the platform's adapters
    And the first entry that is asked has no address for calls
    And the other one becomes known later
    When the starting entry is ready
    Then it has the shares of the running ones

  Scenario: no entry tells its shares
    Given two running entries in a shift and a starting one, with the platform's adapters
    And no running entry knows the call
    When the starting entry is ready
    Then it goes by the plan
