Feature: the attempts of one request
  Guards against running a request twice that is not repeatable, such as a
  payment whose server crashes before it answers. It is sent again, or refused
  as not run, only if it is certain that it did not run.

  Scenario Outline: an attempt that was <sent>, repeatable <repeatable>
    A crossed answer belongs to another request. The end of an unframed answer
    can't be told from a premature close.

    When an attempt that was <sent> is lost, repeatable <repeatable>
    Then the attempts' next step is <step>

    Examples:
      | sent            | repeatable | step           |
      | not-sent        | no         | retry          |
      | refused-not-run | no         | retry          |
      | maybe-sent      | no         | refuse unknown |
      | maybe-sent      | yes        | retry          |
      | crossed         | no         | refuse unknown |
      | unframed        | no         | refuse unknown |

  Scenario: the outcome takes all attempts into account
    The first server crashes after the request was sent, the second one refuses
    with not-run. Only the second attempt is certain not to have run.

    When an attempt is lost after sending and the next is refused as not run
    Then the attempts' refusal says unknown

  Scenario: retries are limited when all attempts fail
    When 100 requests in a row lose each attempt
    Then the attempts' retries are at most 20

  Scenario: an attempt without a connection takes no retry from the budget
    Guards against a budget exhausted by attempts at the servers of a failed
    failure domain: further requests would be refused although no server had
    received them.

    When an attempt gets no connection and the budget is spent
    Then the attempts ask for another server
    When an attempt was refused by its server and the budget is spent
    Then the attempts' refusal says not-run

  Scenario: a long upload is not cut by the deadline
    An upload of 2 GB takes minutes, and the deadline is 20 s. The deadline
    must count from the last byte of the request.

    When an upload takes 600 s under a limit of 20 s
    Then the attempts wait 20 s for the answer after the upload

  Scenario: no order of events violates a guarantee
    When random events drive the attempts of many requests
    Then the attempts kept all guarantees
