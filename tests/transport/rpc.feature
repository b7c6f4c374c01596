Feature: links between our processes
  A firewall forgets a connection: both ends hold it for open, what is sent
  vanishes, and the next edit or revision would wait on it for ever. Peers may
  also freeze, run another version, or send what is no message at all.

  Scenario: a connection goes silent and new ones work
    When a link goes silent under a held call and a short one
    Then the short link call failed by its deadline and the next one was answered
    And the held link call was ended by the heartbeat

  Scenario: one slow call does not cost the others their connection
    When a link call times out while others are answered
    Then all other link calls were answered over one connection

  Scenario: a connection that was given up still brings what it owes
    When a link call times out with no other answer since, beside a held one
    Then the held link call is answered and the next call has a new connection

  Scenario: garbage, oversized and malformed messages
    When a link server gets garbage, an oversized and a malformed message
    Then each sender was dropped and logged and others are served on

  Scenario: an oversized answer
    When a link server answers with more than the limit
    Then the link call failed and the next one was answered

  Scenario: more calls than a link takes
    When more link calls are made than the bound
    Then the link calls above the bound were refused at once

  Scenario: no one listens
    When a link calls an address where no one listens, many times
    Then only a few connections were tried

  Scenario: an older and a newer program
    When link messages with fewer and with more fields are exchanged
    Then what is missing took its default and what is new was passed over
    And a link call that an older program does not know keeps its connection

  Scenario: keys are rotated without a stop
    When keys of both link ends are rotated one after the other during calls
    Then every link call was answered

  Scenario: a peer without our key
    When a link is called with another key and without a key
    Then neither link call reached the handler

  Scenario: an error inside the asyncio loop
    When a callback of the links' asyncio loop fails and a channel is dropped
    Then both link errors are logged and calls are answered
