Feature: An accepted configuration is in force everywhere within seconds and never reverts

  Background:
    Given 3 nodes, 1 engines and 1 plain servers

  Scenario: An older revision is offered late
    When revision 5 is in the Object API
    And node-1 is offered revision 4
    Then revision 5 is in force on every running node within 4000 ms

  Scenario: Only one node sees the change
    When node-1 is offered revision 2
    Then revision 2 is in force on every running node within 4000 ms

  Scenario: Only one node sees the change, and heartbeats are dropped, doubled and late
    Given heartbeats are dropped, doubled and late
    When node-1 is offered revision 2
    Then revision 2 is in force on every running node within 4000 ms

  Scenario: A node is frozen across two revisions
    When node-2 freezes
    And revision 2 is in the Object API
    And 1000 ms pass
    And revision 3 is in the Object API
    And 1000 ms pass
    And node-2 wakes
    Then revision 3 is in force on every running node within 4000 ms

  Scenario: A node starts while the Object API is down and takes the revision from a peer
    When revision 2 is in the Object API
    And node-3 is killed
    And node-3 starts again
    Then revision 2 is in force on every running node within 4000 ms

  Scenario: A node without a configuration refuses as not ready
    When node-3 is killed
    And node-3 is cut off from its peers
    And node-3 starts again
    And c1 reads through node-3
    Then c1 is refused with not-ready within 100 ms
