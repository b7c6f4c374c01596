Feature: the attempts of one request
  A student pays; the server dies before it answers. If the payment were sent
  to a second server, it could be taken twice. It goes out again only when it
  is certain that it did not run, and only then is she told so.

  Scenario Outline: <sent> and repeatable <repeatable>
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

  Scenario: what an earlier attempt may have done is not forgotten
    A read-only row is deleted. The first server dies after it was sent, the
    second refuses with not-run. Only the second is certain not to have run.
    When an attempt is lost after sending and the next is refused as not run
    Then the attempts' refusal says unknown

  Scenario: servers that are slow for all get no threefold load
    When 100 requests in a row lose each attempt
    Then the attempts' retries are at most 20

  Scenario: a server that takes no connection costs no retry
    A zone's servers die. Each request that tried one of them took a retry of
    the budget; soon the others were refused though no server had seen them.
    When an attempt finds no connection and the budget is spent
    Then the attempts ask for another server
    When an attempt was refused by its server and the budget is spent
    Then the attempts' refusal says not-run

  Scenario: a long upload is not cut by the deadline
    A book of 2 GB takes minutes to upload, the deadline is 20 s. The time
    counts from the last byte, or no book could ever be uploaded.
    When an upload takes 600 s under a limit of 20 s
    Then the attempts wait 20 s from its end for the answer

  Scenario: no order of events breaks a promise
    When random events drive the attempts of many requests
    Then the attempts kept each promise
