Feature: the dispatch of an entry's requests
  An entry serves its own interface under `/hyssop/`, which no route may use, and
  the requests of callers under all other paths.

  # Guards against answering a caller's request with the entry's own interface.
  Scenario Outline: "<target>" is a request <whose>
    Then an entry serves "<target>" as a request <whose>

    Examples:
      | target                  | whose       |
      | /hyssop/v1/healthz      | of its own  |
      | /hyssop%2Fv1%2Fhealthz  | of a caller |
      | /%68yssop/v1/healthz    | of a caller |
      | /orders/hyssop/1        | of a caller |
