Feature: messages between control instances
  The task of a control instance failed while it restored its disk. Before it
  ran again it had a message for an instance without an outbox. Each restart of
  the task failed on this message, until the process ended.

  Scenario: a message to a new instance while the senders are stopped is dropped
    Given outboxes whose senders have stopped
    When a message is sent to an instance without an outbox
    Then it is dropped, and the next one is sent when the senders run again

  # Guards against: rounds that last longer the larger the tables are.
  Scenario: a peer that accepts compressed messages gets large ones compressed
    Given outboxes to a peer that accepts compressed messages
    When a register with 1400 routes is sent three times
    Then the last two take less than a fifth of the bytes of the first
    And each of them is received as it was sent

  Scenario: a peer with an older program gets plain messages
    Given outboxes to a peer with an older program
    When a register with 1400 routes is sent three times
    Then all of them take the same bytes
    And each of them is received as it was sent

  # Guards against: an older program that accepts a register without its value.
  Scenario: a peer replaced by an older program gets a large value whole
    Given outboxes to a peer that holds a large value
    When the peer is replaced by an older program
    And a register with that value is sent to it
    Then the older program does not read the message without the value
    And it then receives the register as it was sent
