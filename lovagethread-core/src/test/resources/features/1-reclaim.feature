Feature: An accepted request survives any announced reclaim

  Background:
    Given 3 nodes, 6 engines and 3 plain servers

  Scenario: A long stream moves to another engine
    When c1 asks node-1 for 300 tokens
    And 1000 ms pass
    And the reclaim of the engine that serves c1 is announced for in 3000 ms
    Then c1 has its whole answer within 20000 ms
    And at most 0 tokens were computed again

  Scenario: A stream that ends in time stays where it is
    When c1 asks node-1 for 60 tokens
    And 500 ms pass
    And the reclaim of the engine that serves c1 is announced for in 5000 ms
    Then c1 has its whole answer within 3000 ms
    And at most 0 tokens were computed again

  Scenario: The notice is shorter than an export takes
    When c1 asks node-1 for 300 tokens
    And 1000 ms pass
    And the reclaim of the engine that serves c1 is announced for in 100 ms
    Then c1 has its whole answer within 20000 ms

  Scenario: No engine accepts the cache
    Given no engine accepts a cache import
    When c1 asks node-1 for 300 tokens
    And 1000 ms pass
    And the reclaim of the engine that serves c1 is announced for in 3000 ms
    Then c1 has its whole answer within 20000 ms

  Scenario: The target of a move is reclaimed during the move
    When c1 asks node-1 for 300 tokens
    And 1000 ms pass
    And the reclaim of the engine that serves c1 is announced for in 3000 ms
    And the reclaim of the engine that serves c1 is announced for in 40 ms
    Then c1 has its whole answer within 20000 ms

  Scenario: A whole zone is reclaimed at once, with streams, reads and bookings in flight
    When c1 asks node-1 for 300 tokens
    And c2 asks node-2 for 300 tokens
    And c3 asks node-3 for 300 tokens
    And c4 asks node-3 for 300 tokens
    And 995 ms pass
    And c5 books with key k5 through node-1
    And c6 books with key k6 through node-2
    And c7 reads through node-3
    And 6 ms pass
    And the reclaim of zone zone-1 is announced for in 2000 ms
    Then c1 has its whole answer within 20000 ms
    And c2 has its whole answer within 20000 ms
    And c3 has its whole answer within 20000 ms
    And c4 has its whole answer within 20000 ms
    And c5 has its whole answer within 1000 ms
    And c6 has its whole answer within 1000 ms
    And c7 has its whole answer within 1000 ms

  Scenario: Every engine but one is reclaimed, one after another
    When c1 asks node-1 for 400 tokens
    And 500 ms pass
    And the reclaim of assistant-1 is announced for in 1500 ms
    And 400 ms pass
    And the reclaim of assistant-2 is announced for in 1500 ms
    And 400 ms pass
    And the reclaim of assistant-3 is announced for in 1500 ms
    And 400 ms pass
    And the reclaim of assistant-4 is announced for in 1500 ms
    And 400 ms pass
    And the reclaim of assistant-5 is announced for in 1500 ms
    Then c1 has its whole answer within 30000 ms

  Scenario: Every engine is leaving before a replacement has started
    Given 1 nodes, 1 engines and 1 plain servers
    When c1 asks node-1 for 300 tokens
    And 500 ms pass
    And the reclaim of assistant-1 is announced for in 1500 ms
    And the reclaim of assistant-2 is announced for in 1500 ms
    And the reclaim of assistant-3 is announced for in 1500 ms
    And the reclaim of assistant-4 is announced for in 1500 ms
    And the reclaim of assistant-5 is announced for in 1500 ms
    And the reclaim of assistant-6 is announced for in 1500 ms
    And 3000 ms pass
    And a replacement engine assistant-7 appears
    Then c1 has its whole answer within 30000 ms

  Scenario: The instance of a node is reclaimed while it carries a long stream
    When c1 asks node-1 for 1000 tokens
    And 1000 ms pass
    And the reclaim of node-1 is announced for in 5000 ms
    And c1 follows its stream wherever it moves
    Then c1 has its whole answer within 40000 ms

  Scenario: The node that carries a stream is killed during a move
    When c1 asks node-1 for 300 tokens
    And 1000 ms pass
    And the reclaim of the engine that serves c1 is announced for in 3000 ms
    And node-1 is killed
    And c1 reconnects through node-2
    Then c1 has its whole answer within 20000 ms
