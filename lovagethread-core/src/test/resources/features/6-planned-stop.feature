Feature: A planned stop is a graceful shutdown that interrupts no request

  Background:
    Given 3 nodes, 6 engines and 3 plain servers

  Scenario: A node finishes its streams before it exits
    When c1 sends node-1 a request for 200 tokens
    And 500 ms pass
    And node-1 is asked to stop
    Then c1 receives its complete response within 10000 ms
    When 10000 ms pass
    Then node-1 has exited

  Scenario: A caller uses an address that it resolved before the stop
    When node-1 is asked to stop
    And 1900 ms pass
    And c1 sends node-1 a request for 20 tokens
    Then c1 receives its complete response within 3000 ms

  Scenario: A stream that outlasts the grace period moves to a peer
    When c1 sends node-1 a request for 2500 tokens
    And 1000 ms pass
    And node-1 is asked to stop
    And c1 follows the redirects of its stream
    And 40000 ms pass
    Then node-1 has exited
    And c1 receives its complete response within 40000 ms

  Scenario: A second stop request has no effect
    When c1 sends node-1 a request for 200 tokens
    And 500 ms pass
    And node-1 is asked to stop
    And node-1 is asked to stop
    Then c1 receives its complete response within 10000 ms

  Scenario: All nodes restart one after another under load
    When callers resolve and call addresses while the nodes restart one after another
    Then every caller receives its complete response
