Feature: A non-idempotent booking or dispatch runs at most once

  Background:
    Given 3 nodes, 1 engines and 3 plain servers

  Scenario: The same key to two nodes at once
    When c1 books with key k1 through node-1
    And c2 books with key k1 through node-2
    Then c1 has its whole answer within 3000 ms
    And c2 has its whole answer within 3000 ms
    And c2 has the first answer to c1
    And key k1 ran 1 time

  Scenario: The same key with another body
    When c1 books with key k1 through node-1
    Then c1 has its whole answer within 3000 ms
    When c2 books with key k1 and another body through node-2
    Then c2 is refused with key-reused within 3000 ms
    And key k1 ran 1 time

  Scenario: The node is killed before its claim is written
    When c1 books with key k1 through node-1
    And 1 ms pass
    And node-1 is killed
    And c2 books with key k1 through node-2
    And 8000 ms pass
    And c3 books with key k1 through node-3
    And 8000 ms pass
    Then key k1 ran at most once

  Scenario: The node is killed after its claim and before it sends
    When node-1 freezes just before it sends to an upstream
    And c1 books with key k1 through node-1
    And 100 ms pass
    And node-1 is killed
    And c2 books with key k1 through node-2
    Then c2 is refused with outcome-unknown within 10000 ms
    And key k1 ran 0 times

  Scenario: The node is killed after it has sent
    When c1 books with key k1 through node-1
    And 12 ms pass
    And node-1 is killed
    And c2 books with key k1 through node-2
    Then c2 is refused with outcome-unknown within 10000 ms
    And key k1 ran 1 time

  Scenario: The node is killed before it records the answer
    When c1 books with key k1 through node-1
    And 20 ms pass
    And node-1 freezes just before it records an outcome
    And 100 ms pass
    And node-1 is killed
    And c2 books with key k1 through node-2
    Then c2 is refused with outcome-unknown within 10000 ms
    And key k1 ran 1 time

  Scenario: The node starts again and the caller repeats
    When c1 books with key k1 through node-1
    And 12 ms pass
    And node-1 is killed
    And node-1 starts again
    And node-1 is offered revision 1
    And c2 books with key k1 through node-1
    Then c2 is refused with outcome-unknown within 1000 ms
    And key k1 ran 1 time

  Scenario: The answer of the claim is lost
    Given the Object API is answers-lost
    When c1 books with key k1 through node-1
    And 500 ms pass
    And the Object API is up
    Then c1 has its whole answer within 5000 ms
    And key k1 ran 1 time

  Scenario: The claim takes effect long after its answer was given up
    Given the Object API is writes-late
    When c1 books with key k1 through node-1
    And 1200 ms pass
    And the Object API is up
    And 5000 ms pass
    And c2 books with key k1 through node-2
    And 10000 ms pass
    Then key k1 ran at most once

  Scenario: The Object API is down before the claim
    Given the Object API is down
    When c1 books with key k1 through node-1
    Then c1 is refused with store-unavailable within 100 ms
    And key k1 ran 0 times
    When c2 reads through node-1
    Then c2 has its whole answer within 1000 ms

  Scenario: The Object API goes down while the booking runs
    When c1 books with key k1 through node-1
    And 15 ms pass
    And the Object API is down
    Then c1 has its whole answer within 1000 ms
    When 5000 ms pass
    And the Object API is up
    And 1000 ms pass
    And c2 books with key k1 through node-2
    Then c2 has its whole answer within 1000 ms
    And c2 has the first answer to c1
    And key k1 ran 1 time

  Scenario: A node is frozen past any deadline between its claim and its send, then wakes
    When node-1 freezes just before it sends to an upstream
    And c1 books with key k1 through node-1
    And 100 ms pass
    And c2 books with key k1 through node-2
    Then c2 is refused with outcome-unknown within 10000 ms
    When 120000 ms pass
    And node-1 wakes
    And 5000 ms pass
    And c3 books with key k1 through node-3
    And 5000 ms pass
    Then key k1 ran at most once

  Scenario: A frozen node and an outage of the Object API together
    When c1 books with key k1 through node-1
    And 12 ms pass
    And node-1 freezes
    And the Object API is down
    And 3000 ms pass
    And node-1 wakes
    And the Object API is up
    And 3000 ms pass
    And c2 books with key k1 through node-2
    Then c2 has its whole answer within 5000 ms
    And key k1 ran 1 time
