Feature: messages between control instances
  The task of a control instance failed while its disk was repaired. Before it
  ran again it had a message for an instance that it had not spoken to yet; each
  new start failed on that, until the process ended.

  Scenario: a message for a new instance while the senders are stopped is lost
    Given outboxes whose senders have stopped
    When a message is sent to an instance that was never sent any
    Then it is lost, and the next one leaves once the senders run again
