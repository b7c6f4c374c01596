Feature: requests of organisations
  A caller without a key of an organisation must reach no server, a server must
  learn the organisation and never the key, and no caller can choose the name.

  Background:
    Given the data path over 1 stand-ins
    And the data path's organisations
      """
      organisations:
        - {name: press, keys: [press-key-1, press-key-2], allowed_regions: [dar]}
        - {name: school, keys: [school-key], priority: 0}
        - {name: abroad, keys: [abroad-key], allowed_regions: [mwanza]}
      """

  Scenario Outline: a key opens the route for its organisation
    When the data path gets GET "/x" with the headers "<headers>"
    Then the data path answers 200 with outcome ""
    And the stand-in got the organisation "<organisation>" and no key

    Examples:
      | headers                                                      | organisation |
      | hyssop-key: press-key-1                                      | press        |
      | hyssop-key: press-key-2                                      | press        |
      | HYSSOP-KEY: school-key                                       | school       |
      | hyssop-key: school-key, hyssop-organisation: press           | school       |
      | hyssop-key: school-key, Hyssop-Organisation: press           | school       |
      | hyssop-key: school-key, hyssop_organisation: press           | school       |
      | hyssop-organisation: press, hyssop-key: school-key, hyssop-organisation: press | school |
      | hyssop-key: school-key, connection: hyssop-organisation      | school       |

  Scenario Outline: a caller without a valid key reaches no server
    When the data path gets GET "/x" with the headers "<headers>"
    Then the data path answers 401 with outcome "not-run"
    And the data path ran it 0 times

    Examples:
      | headers                                          |
      |                                                  |
      | hyssop-key: press-key-                           |
      | hyssop-key: press-key-11                         |
      | hyssop-key: PRESS-KEY-1                          |
      | hyssop-key: press-key-1, hyssop-key: school-key  |
      | hyssop-key: press-key-1, hyssop-key: press-key-1 |
      | hyssop_key: press-key-1                          |
      | hyssop-organisation: press                       |

  Scenario: a key that newer tables may have is not refused for good
    Callers do not repeat a request after 401.
    Given the data path's entry is behind the newest tables
    When the data path gets GET "/x" with the headers "hyssop-key: new-key"
    Then the data path answers 503 with outcome "not-run"
    And the data path ran it 0 times

  Scenario: a public route needs no key, and its servers get none
    When the data path gets GET "/public" with the headers "hyssop-key: press-key-1, hyssop-organisation: press"
    Then the data path answers 200 with outcome ""
    And the stand-in got no organisation and no key

  Scenario: no region is allowed by both the organisation and the route
    When the data path gets GET "/dar" with the headers "hyssop-key: abroad-key"
    Then the data path answers 503 with outcome "not-run"
    And the data path ran it 0 times

  Scenario Outline: the regions and the priority of the organisation bind
    When the data path gets GET "<path>" with the headers "hyssop-key: <key>"
    Then the last slot request was for the regions "<regions>"
    And the last slot request had priority <priority>

    Examples:
      | path | key         | regions | priority |
      | /dar | press-key-1 | dar     | 5        |
      | /x   | press-key-1 | dar     | 5        |
      | /x   | school-key  | dar     | 0        |
      | /x   | abroad-key  |         | 5        |

  Scenario: an organisation at its limit is refused at once
    Given the organisation "press" is at its limit
    When the data path gets GET "/x" with the headers "hyssop-key: press-key-1"
    Then the data path answers 429 with outcome "not-run"
    And the data path ran it 0 times

  Scenario: an organisation does not use the limit of another
    Given the organisation "press" is at its limit
    When the data path gets GET "/x" with the headers "hyssop-key: school-key"
    Then the data path answers 200 with outcome ""
    And the stand-in got the organisation "school" and no key

  Scenario: a request that is refused for another reason takes nothing of the limit
    When the data path gets GET "/x" with the headers "hyssop-key: press-key-1, standin-fault: shed"
    Then the organisation "press" has used 0 of its limit

  Scenario: a request that ran may count twice, and is not given back
    When the data path gets GET "/x" with the headers "hyssop-key: press-key-1, standin-fault: die"
    Then the organisation "press" has used 1 of its limit

  Scenario: keys expire without control if the settings ask for it
    Given keys are valid for 5 s without control, and control is away for 6 s
    When the data path gets GET "/x" with the headers "hyssop-key: press-key-1"
    Then the data path answers 503 with outcome "not-run"
    And the data path ran it 0 times

  Scenario: a public route needs no control
    Given keys are valid for 5 s without control, and control is away for 6 s
    When the data path gets GET "/public" with the headers ""
    Then the data path answers 200 with outcome ""

  Scenario: equal requests of two organisations have different fingerprints
    When the data path gets GET "/x" with the headers "hyssop-key: press-key-1"
    And the data path gets GET "/x" with the headers "hyssop-key: press-key-2"
    And the data path gets GET "/x" with the headers "hyssop-key: school-key"
    Then the fingerprints of answers 1 and 2 are equal, that of answer 3 differs

  Scenario: no key appears in logs, metrics or refusals
    When the data path gets GET "/x" with the headers "hyssop-key: press-key-1"
    And the data path gets GET "/x" with the headers "hyssop-key: wrong-press-key"
    And the data path gets GET "/x" with the headers "hyssop-key: abroad-key, standin-fault: die"
    Then no key appears in the log, the metrics or the answers
