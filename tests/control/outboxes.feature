Feature: messages between control instances
  The task of a control instance failed while it restored its disk. Before it
  ran again it had a message for an instance without an outbox. Each restart of
  the task failed on this message, until the process ended.

  Scenario: a message to a new instance while the senders are stopped is dropped
    Given outboxes whose senders have stopped
    When a message is sent to an instance without an outbox
    Then it is dropped, and the next one is sent when the senders run again
