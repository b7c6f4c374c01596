Feature: headers of another dialect
  Guards against relaying an answer that no server signed, or that does not
  have the request's id, and against missing the object cookie among others.

  Scenario Outline: the object that a request concerns
    When a request's cookies are "<cookies>"
    Then its object is "<object>" if the object cookie is "book"

    Examples:
      | cookies              | object |
      | book=17              | 17     |
      | a=1; book=x y; c=2   | x y    |
      | xbook=17             |        |
      | a=book=3             |        |

  Scenario Outline: the load that an answer reports
    When an answer reports the load "<text>"
    Then the parsed load is <read>

    Examples:
      | text                | read  |
      | 3,0,8               | 3 0 8 |
      | 1, 2, 3             | 1 2 3 |
      | 1,2                 | none  |
      | -1,2,3              | none  |
      | a,b,c               | none  |

  # Guards against a limit that is not read, or read from another text.
  Scenario Outline: the rate limit that an answer names
    When an answer names the rate limit "<text>"
    Then the parsed rate limit is <read>

    Examples:
      | text  | read |
      | 4.8   | 4.8  |
      | 12    | 12   |
      | 0     | 0.0  |
      | 0.0   | 0.0  |
      | -1    | none |
      | 1e3   | none |
      | nan   | none |
      | many  | none |
      |       | none |

  Scenario Outline: answers with and without signature and request id
    When an answer of status <status> has the headers "<headers>"
    Then it is signed <signed>, not run <not_run>, misdirected <misdirected>

    Examples:
      | status | headers              | signed | not_run | misdirected |
      | 200    | request-id,signature | True   | False   | False       |
      | 200    | request-id           | False  | False   | False       |
      | 200    | signature            | False  | False   | False       |
      | 503    | refused              | False  | True    | False       |
      | 421    |                      | False  | False   | True        |

  # Guards against a time without requests that is not read, or is endless.
  Scenario Outline: the time for which a server wants no requests
    When an answer with status <status> has retry-after "<text>"
    Then the server wants no requests for <rest> s

    Examples:
      | status | text                          | rest   |
      | 503    | 3                             | 3.0    |
      | 503    | 0.25                          | 0.25   |
      | 503    | 999999999                     | 3600.0 |
      | 503    | -1                            | 0.0    |
      | 503    | Wed, 21 Oct 2026 07:28:00 GMT | 0.0    |
      | 503    |                               | 0.0    |
      | 429    | 3                             | 0.0    |
