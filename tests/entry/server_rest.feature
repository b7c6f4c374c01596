Feature: servers that want no requests from an entry
  A server that turns a request away may ask for a time without requests, and a
  server that leaves says so in its answers. Such a server reports no load and
  would be chosen before all others.

  # Guards against entries that ignore the time without requests.
  Scenario: a server that asks for rest gets none of an entry's requests
    Given one running entry over 4 servers
    When server 0 asks for 2 s without requests in each answer from 1 s on
    And callers send it 20 requests a second for 8 s
    Then server 0 was asked again after each time without requests
    And it got at most 2 requests from half a second after an answer to the end of its time
    And all callers were answered

  # Guards against entries that go on using a server that says it leaves.
  Scenario: a server that leaves gets no more requests of an entry
    Given one running entry over 4 servers
    When server 0 says in its answers that it leaves from 1 s on
    And callers send it 20 requests a second for 8 s
    Then server 0 got no request later than 2.5 s after it had first said so
    And all callers were answered
