Feature: A leaving upstream receives no new attempts after a few seconds

  Background:
    Given 3 nodes, 3 engines and 3 plain servers

  Scenario: Every node receives the reclaim notice
    When the reclaim of pond-desk-1 in 60000 ms is announced
    And callers read through every node for 8000 ms
    Then no upstream received an attempt more than 3000 ms after its reclaim notice

  Scenario: One node misses the reclaim notice and is informed by a peer
    Given node-2 receives no reclaim notices
    When the reclaim of pond-desk-1 in 60000 ms is announced
    And callers read through every node for 8000 ms
    Then no upstream received an attempt more than 3000 ms after its reclaim notice

  Scenario: An outdated instance list does not reinstate a leaving upstream
    When the reclaim of pond-desk-1 in 60000 ms is announced
    And 1500 ms pass
    And the instance list still reports every upstream as not leaving
    And callers read through every node for 8000 ms
    Then no upstream received an attempt more than 3000 ms after its reclaim notice

  Scenario: A node that starts later is informed about the leaving upstream by its peers
    When the reclaim of pond-desk-1 in 60000 ms is announced
    And node-3 is killed
    And node-3 receives no reclaim notices
    And node-3 restarts
    And node-3 is offered revision 1
    And the instance list still reports every upstream as not leaving
    And callers read through every node for 8000 ms
    Then no upstream received an attempt more than 3000 ms after its reclaim notice

  Scenario: One node misses the reclaim notice while 30% of the heartbeats are lost
    Given node-2 receives no reclaim notices
    And heartbeats are dropped, duplicated and delayed
    When the reclaim of pond-desk-1 in 60000 ms is announced
    And callers read through every node for 8000 ms
    Then no upstream received an attempt more than 3000 ms after its reclaim notice
