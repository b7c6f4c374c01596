Feature: headers in other words
  Where callers and servers use words of their own, an answer that no server
  signed, or that bears no id, must not pass for this request's; and a cookie
  that holds the object must be found among others.

  Scenario Outline: the object that a request concerns
    When a request's cookies are "<cookies>"
    Then its object is "<object>" where the cookie is called "book"

    Examples:
      | cookies              | object |
      | book=17              | 17     |
      | a=1; book=x y; c=2   | x y    |
      | xbook=17             |        |
      | a=book=3             |        |

  Scenario Outline: the load that an answer tells
    When an answer tells the load "<text>"
    Then the load is read as <read>

    Examples:
      | text                | read  |
      | 3,0,8               | 3 0 8 |
      | 1, 2, 3             | 1 2 3 |
      | 1,2                 | none  |
      | -1,2,3              | none  |
      | a,b,c               | none  |

  Scenario Outline: which answers count, signed and with the request's id
    When an answer of status <status> bears "<headers>"
    Then it is signed <signed>, not run <not_run>, misdirected <elsewhere>

    Examples:
      | status | headers                        | signed | not_run | elsewhere |
      | 200    | request-id,signature           | True   | False   | False     |
      | 200    | request-id                     | False  | False   | False     |
      | 200    | signature                      | False  | False   | False     |
      | 503    | refused                        | False  | True    | False     |
      | 421    |                                | False  | False   | True      |
