Feature: gRPC calls between instances
  A firewall drops the state of a connection: both ends consider it open, all
  packets are lost, and the next edit or poll would wait on it forever. Peers
  may also freeze, run another version, or send invalid messages.

  Scenario: new connections work after a connection goes silent
    When a connection goes silent under a long RPC and a short one
    Then the short RPC fails by its deadline and the next one is answered
    And the long RPC is ended by the heartbeat

  Scenario: a slow call does not close the connection of other calls
    When an RPC times out while others are answered
    Then all other RPCs are answered over one connection

  Scenario: calls on a replaced connection are still answered
    When an RPC times out without any other answer, while another one is pending
    Then the pending RPC is answered and the next one has a new connection

  Scenario: garbage, oversized and malformed messages
    When an RPC server receives garbage, an oversized and a malformed message
    Then each sender is disconnected and logged and others are still served

  Scenario: an oversized answer
    When an RPC server answers with more than the limit
    Then the RPC fails and the next one is answered

  Scenario: more calls than a client allows
    When more RPCs are made than the limit
    Then the RPCs above the limit are refused at once

  Scenario: no server on the address
    When an address without a server gets many RPCs
    Then only a few connections are attempted

  Scenario: an older and a newer program
    When RPC messages with fewer and with more fields are exchanged
    Then missing fields get their defaults and new fields are ignored
    And an RPC unknown to an older program keeps the connection

  Scenario: keys are rotated without interruption
    When the keys of both ends are rotated one after the other during RPCs
    Then every RPC is answered

  Scenario: a peer without our key
    When RPCs are made with another key and without a key
    Then neither RPC reaches the handler

  Scenario: an error inside the asyncio loop
    When a callback of the asyncio loop of RPCs fails and a channel is dropped
    Then both asyncio errors are logged and RPCs are answered
