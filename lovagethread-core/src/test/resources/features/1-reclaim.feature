Feature: Accepted requests survive announced reclaims of upstreams and nodes

  Background:
    Given 3 nodes, 6 engines and 3 plain servers

  Scenario: A long stream moves to another engine
    When c1 sends node-1 a request for 300 tokens
    And 1000 ms pass
    And the reclaim of the engine that serves c1 in 3000 ms is announced
    Then c1 receives its complete response within 20000 ms
    And at most 0 tokens were recomputed

  Scenario: A stream that ends before the reclaim finishes in place
    When c1 sends node-1 a request for 60 tokens
    And 500 ms pass
    And the reclaim of the engine that serves c1 in 5000 ms is announced
    Then c1 receives its complete response within 3000 ms
    And at most 0 tokens were recomputed

  Scenario: The notice period is too short for a cache export
    When c1 sends node-1 a request for 300 tokens
    And 1000 ms pass
    And the reclaim of the engine that serves c1 in 100 ms is announced
    Then c1 receives its complete response within 20000 ms

  Scenario: No engine accepts a cache import
    Given no engine accepts a cache import
    When c1 sends node-1 a request for 300 tokens
    And 1000 ms pass
    And the reclaim of the engine that serves c1 in 3000 ms is announced
    Then c1 receives its complete response within 20000 ms

  Scenario: The target of a move is reclaimed during the move
    When c1 sends node-1 a request for 300 tokens
    And 1000 ms pass
    And the reclaim of the engine that serves c1 in 3000 ms is announced
    And the reclaim of the engine that serves c1 in 40 ms is announced
    Then c1 receives its complete response within 20000 ms

  Scenario: All instances of a zone are reclaimed while streams, reads and bookings are in flight
    When c1 sends node-1 a request for 300 tokens
    And c2 sends node-2 a request for 300 tokens
    And c3 sends node-3 a request for 300 tokens
    And c4 sends node-3 a request for 300 tokens
    And 995 ms pass
    And c5 books with key k5 through node-1
    And c6 books with key k6 through node-2
    And c7 reads through node-3
    And 6 ms pass
    And the reclaim of zone zone-1 in 2000 ms is announced
    Then c1 receives its complete response within 20000 ms
    And c2 receives its complete response within 20000 ms
    And c3 receives its complete response within 20000 ms
    And c4 receives its complete response within 20000 ms
    And c5 receives its complete response within 1000 ms
    And c6 receives its complete response within 1000 ms
    And c7 receives its complete response within 1000 ms

  Scenario: All engines but one are reclaimed one after another
    When c1 sends node-1 a request for 400 tokens
    And 500 ms pass
    And the reclaim of assistant-1 in 1500 ms is announced
    And 400 ms pass
    And the reclaim of assistant-2 in 1500 ms is announced
    And 400 ms pass
    And the reclaim of assistant-3 in 1500 ms is announced
    And 400 ms pass
    And the reclaim of assistant-4 in 1500 ms is announced
    And 400 ms pass
    And the reclaim of assistant-5 in 1500 ms is announced
    Then c1 receives its complete response within 30000 ms

  Scenario: All engines are reclaimed before a replacement is started
    Given 1 nodes, 1 engines and 1 plain servers
    When c1 sends node-1 a request for 300 tokens
    And 500 ms pass
    And the reclaim of assistant-1 in 1500 ms is announced
    And the reclaim of assistant-2 in 1500 ms is announced
    And the reclaim of assistant-3 in 1500 ms is announced
    And the reclaim of assistant-4 in 1500 ms is announced
    And the reclaim of assistant-5 in 1500 ms is announced
    And the reclaim of assistant-6 in 1500 ms is announced
    And 3000 ms pass
    And a replacement engine assistant-7 is started
    Then c1 receives its complete response within 30000 ms

  Scenario: The instance of a node is reclaimed during a long stream
    When c1 sends node-1 a request for 1000 tokens
    And 1000 ms pass
    And the reclaim of node-1 in 5000 ms is announced
    And c1 follows the redirects of its stream
    Then c1 receives its complete response within 40000 ms

  Scenario: The node that serves a stream is killed while the stream moves to another engine
    When c1 sends node-1 a request for 300 tokens
    And 1000 ms pass
    And the reclaim of the engine that serves c1 in 3000 ms is announced
    And node-1 is killed
    And c1 reconnects through node-2
    Then c1 receives its complete response within 20000 ms
