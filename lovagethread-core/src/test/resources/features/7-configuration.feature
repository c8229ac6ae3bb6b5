Feature: An accepted configuration is active on all nodes within seconds and never reverts

  Background:
    Given 3 nodes, 1 engines and 1 plain servers

  Scenario: An older revision is offered after a newer one
    When revision 5 is offered to every node
    And node-1 is offered revision 4
    Then revision 5 is active on every running node within 4000 ms

  Scenario: Only one node receives the new revision
    When node-1 is offered revision 2
    Then revision 2 is active on every running node within 4000 ms

  Scenario: Only one node receives the new revision, and heartbeats are dropped, duplicated and delayed
    Given heartbeats are dropped, duplicated and delayed
    When node-1 is offered revision 2
    Then revision 2 is active on every running node within 4000 ms

  Scenario: A node is frozen while two revisions are offered
    When node-2 freezes
    And revision 2 is offered to every node
    And 1000 ms pass
    And revision 3 is offered to every node
    And 1000 ms pass
    And node-2 resumes
    Then revision 3 is active on every running node within 4000 ms

  Scenario: A node that starts without the Object API obtains the revision from a peer
    When revision 2 is offered to every node
    And node-3 is killed
    And node-3 restarts
    Then revision 2 is active on every running node within 4000 ms

  Scenario: A node without a configuration refuses calls as not ready
    When node-3 is killed
    And node-3 is partitioned from its peers
    And node-3 restarts
    And c1 reads through node-3
    Then c1 is refused with not-ready within 100 ms
