Feature: Orders by a holder whose lease has lapsed while it was paused do no harm

  Background:
    Given 3 nodes, 4 engines and 1 plain servers
    And 20000 ms pass

  Scenario: A new model version is rolled out
    When revision 100 is in the Object API
    Then every engine serves m@2 within 30000 ms
    And no engine obeyed a stale order

  Scenario: The holder is frozen before it sends, past its lease, and wakes
    When node-1 freezes just before it sends an order
    And revision 100 is in the Object API
    And 100 ms pass
    Then node-1 is frozen
    When 40000 ms pass
    And revision 200 is in the Object API
    Then every engine serves m@3 within 60000 ms
    When node-1 wakes
    And 30000 ms pass
    Then no engine obeyed a stale order
    And every engine serves m@3 within 100 ms

  Scenario: The pause falls between the check and the send, and engines check fencing numbers
    Given orders slip past the check of their deadline
    When node-1 freezes just before it sends an order
    And revision 100 is in the Object API
    And 100 ms pass
    Then node-1 is frozen
    When 40000 ms pass
    And revision 200 is in the Object API
    Then every engine serves m@3 within 60000 ms
    When node-1 wakes
    And 30000 ms pass
    Then no engine obeyed a stale order
    And every engine serves m@3 within 100 ms

  Scenario: The pause falls between the check and the send, and engines ignore fencing numbers
    Given engines ignore fencing numbers
    And orders slip past the check of their deadline
    When node-1 freezes just before it sends an order
    And revision 100 is in the Object API
    And 100 ms pass
    Then node-1 is frozen
    When 40000 ms pass
    And revision 200 is in the Object API
    Then every engine serves m@3 within 60000 ms
    When node-1 wakes
    And 100 ms pass
    Then an engine obeyed a stale order
    And every engine serves m@3 within 30000 ms

  Scenario: The Object API is down for longer than the lease
    When the Object API is down
    And 15000 ms pass
    And revision 100 is in the Object API
    Then no engine was ordered within 20000 ms
    When the Object API is up
    Then every engine serves m@2 within 60000 ms
    And no engine obeyed a stale order

  Scenario: The answers of renewals are lost
    When the Object API is answers-lost
    And revision 100 is in the Object API
    And 30000 ms pass
    And the Object API is up
    Then every engine serves m@2 within 60000 ms
    And no engine obeyed a stale order

  Scenario: The holder is killed
    When node-1 is killed
    And revision 100 is in the Object API
    Then every engine serves m@2 within 60000 ms
    And no engine obeyed a stale order

  Scenario: The holder loses sight of its peers, and two nodes want the lease
    When node-1 is cut off from its peers
    And revision 100 is in the Object API
    Then every engine serves m@2 within 60000 ms
    And no engine obeyed a stale order

  Scenario: Two nodes want the lease, and engines ignore fencing numbers
    Given engines ignore fencing numbers
    When node-1 is cut off from its peers
    And 8000 ms pass
    And revision 100 is in the Object API
    Then every engine serves m@2 within 60000 ms
    And no engine obeyed a stale order
