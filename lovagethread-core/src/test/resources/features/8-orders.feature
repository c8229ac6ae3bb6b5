Feature: Orders sent after the lease has expired during a suspension of the process have no lasting effect

  Background:
    Given 3 nodes, 4 engines and 1 plain servers
    And 20000 ms pass

  Scenario: A new model version is rolled out
    When revision 100 is offered to every node
    Then every engine serves m@2 within 30000 ms
    And no engine executed a stale order

  Scenario: The lease holder is frozen before it sends an order and resumes after its lease has expired
    When node-1 freezes just before it sends an order
    And revision 100 is offered to every node
    And 100 ms pass
    Then node-1 is frozen
    When 40000 ms pass
    And revision 200 is offered to every node
    Then every engine serves m@3 within 60000 ms
    When node-1 resumes
    And 30000 ms pass
    Then no engine executed a stale order
    And every engine serves m@3 within 100 ms

  Scenario: The lease holder is frozen between the deadline check and the send, and engines check fencing tokens
    Given orders bypass the check of their deadline
    When node-1 freezes just before it sends an order
    And revision 100 is offered to every node
    And 100 ms pass
    Then node-1 is frozen
    When 40000 ms pass
    And revision 200 is offered to every node
    Then every engine serves m@3 within 60000 ms
    When node-1 resumes
    And 30000 ms pass
    Then no engine executed a stale order
    And every engine serves m@3 within 100 ms

  Scenario: The lease holder is frozen between the deadline check and the send, and engines ignore fencing tokens
    Given engines ignore fencing tokens
    And orders bypass the check of their deadline
    When node-1 freezes just before it sends an order
    And revision 100 is offered to every node
    And 100 ms pass
    Then node-1 is frozen
    When 40000 ms pass
    And revision 200 is offered to every node
    Then every engine serves m@3 within 60000 ms
    When node-1 resumes
    And 100 ms pass
    Then an engine executed a stale order
    And every engine serves m@3 within 30000 ms

  Scenario: The Object API is down for longer than the lease
    When the Object API mode is down
    And 15000 ms pass
    And revision 100 is offered to every node
    Then no engine received an order within 20000 ms
    When the Object API mode is up
    Then every engine serves m@2 within 60000 ms
    And no engine executed a stale order

  Scenario: The responses to lease renewals are lost
    When the Object API mode is responses-lost
    And revision 100 is offered to every node
    And 30000 ms pass
    And the Object API mode is up
    Then every engine serves m@2 within 60000 ms
    And no engine executed a stale order

  Scenario: The lease holder is killed
    When node-1 is killed
    And revision 100 is offered to every node
    Then every engine serves m@2 within 60000 ms
    And no engine executed a stale order

  Scenario: The lease holder is partitioned from its peers, and two nodes compete for the lease
    When node-1 is partitioned from its peers
    And revision 100 is offered to every node
    Then every engine serves m@2 within 60000 ms
    And no engine executed a stale order

  Scenario: Two nodes compete for the lease, and engines ignore fencing tokens
    Given engines ignore fencing tokens
    When node-1 is partitioned from its peers
    And 8000 ms pass
    And revision 100 is offered to every node
    Then every engine serves m@2 within 60000 ms
    And no engine executed a stale order
