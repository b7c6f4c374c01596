Feature: log lines that explain the end of a request, within a budget
  An operator explains a failed request from its log lines. They must all be
  written, even if thousands of successful requests are logged in the same
  second, and writing log lines must not delay other requests.

  Scenario: failed requests are written whole, successful ones are sampled
    Given a sampler of 20 lines a second
    When 100 successful and 5 failed requests of 4 lines each end in a second
    And another 100 successful and 5 failed requests end a second later
    Then all lines of the failed requests were written
    And fewer than 50 lines of the others were written and the rest counted

  Scenario: two processes sample the same requests
    Given two samplers of 400 lines a second with different load
    Then the requests that the busier one writes are also written by the other

  Scenario: a stalled reader of standard output causes dropped lines, no delay
    Given a log handler whose reader is stalled
    When 20000 lines are logged
    Then it took less than 4 s and the dropped lines are counted
    When the reader of the log resumes
    Then the lines that the reader receives are whole

  Scenario Outline: the explanation of a request from its log lines
    Given log lines of a request that was <how>
    Then its explanation contains "<text>"

    Examples:
      | how       | text                       |
      | overfull  | were full                  |
      | lost      | may have run               |
      | late      | may have run               |
      | answered  | answered with 200          |
      | held back | crashed under it before    |
      | over its limit     | organisation press was at its limit |
      | sent without a key | it carried no key          |
      | unknown   | No log line mentions       |
      | unended   | No log line records        |
