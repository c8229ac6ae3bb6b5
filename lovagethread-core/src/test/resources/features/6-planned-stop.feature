Feature: A planned stop is a graceful shutdown and cuts off no request

  Background:
    Given 3 nodes, 6 engines and 3 plain servers

  Scenario: A node finishes its streams before it exits
    When c1 asks node-1 for 200 tokens
    And 500 ms pass
    And node-1 is asked to stop
    Then c1 has its whole answer within 10000 ms
    When 10000 ms pass
    Then node-1 has exited

  Scenario: A caller uses an address that it was given before the stop
    When node-1 is asked to stop
    And 1900 ms pass
    And c1 asks node-1 for 20 tokens
    Then c1 has its whole answer within 3000 ms

  Scenario: A stream longer than the grace time moves to a peer
    When c1 asks node-1 for 2500 tokens
    And 1000 ms pass
    And node-1 is asked to stop
    And c1 follows its stream wherever it moves
    And 40000 ms pass
    Then node-1 has exited
    And c1 has its whole answer within 40000 ms

  Scenario: A second stop request changes nothing
    When c1 asks node-1 for 200 tokens
    And 500 ms pass
    And node-1 is asked to stop
    And node-1 is asked to stop
    Then c1 has its whole answer within 10000 ms

  Scenario: All nodes stop and start again, one after another, under load
    When callers ask every address in turn while each node restarts
    Then every caller has its whole answer
