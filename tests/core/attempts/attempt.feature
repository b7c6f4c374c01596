Feature: another attempt after a failed one
  A student pays; the server dies before it answers. If the payment were sent
  to a second server, it could be taken twice. It goes out again only when it
  is certain that it did not run.

  Scenario Outline: <sent> and repeatable <repeatable>
    When an attempt that was <sent> fails, repeatable <repeatable>
    Then retry is <retry> and the caller is told <outcome>

    Examples:
      | sent            | repeatable | retry | outcome |
      | not-sent        | no         | yes   | not-run |
      | refused-not-run | no         | yes   | not-run |
      | maybe-sent      | no         | no    | unknown |
      | maybe-sent      | yes        | yes   | unknown |
      | answered        | yes        | no    | unknown |
