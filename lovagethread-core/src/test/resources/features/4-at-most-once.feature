Feature: A non-idempotent call is executed at most once

  Background:
    Given 3 nodes, 1 engines and 3 plain servers

  Scenario: The same key is sent to two nodes concurrently
    When c1 books with key k1 through node-1
    And c2 books with key k1 through node-2
    Then c1 receives its complete response within 3000 ms
    And c2 receives its complete response within 3000 ms
    And c2 receives the same response as c1
    And key k1 was executed 1 time

  Scenario: The same key is sent with a different body
    When c1 books with key k1 through node-1
    Then c1 receives its complete response within 3000 ms
    When c2 books with key k1 and another body through node-2
    Then c2 is refused with key-reused within 3000 ms
    And key k1 was executed 1 time

  Scenario: The node is killed before its claim is written
    When c1 books with key k1 through node-1
    And 1 ms pass
    And node-1 is killed
    And c2 books with key k1 through node-2
    And 8000 ms pass
    And c3 books with key k1 through node-3
    And 8000 ms pass
    Then key k1 was executed at most once

  Scenario: The node is killed after writing the claim and before sending the call
    When node-1 freezes just before it sends to an upstream
    And c1 books with key k1 through node-1
    And 100 ms pass
    And node-1 is killed
    And c2 books with key k1 through node-2
    Then c2 is refused with outcome-unknown within 10000 ms
    And key k1 was executed 0 times

  Scenario: The node is killed after sending the call
    When c1 books with key k1 through node-1
    And 12 ms pass
    And node-1 is killed
    And c2 books with key k1 through node-2
    Then c2 is refused with outcome-unknown within 10000 ms
    And key k1 was executed 1 time

  Scenario: The node is killed before recording the response
    When c1 books with key k1 through node-1
    And 20 ms pass
    And node-1 freezes just before it records an outcome
    And 100 ms pass
    And node-1 is killed
    And c2 books with key k1 through node-2
    Then c2 is refused with outcome-unknown within 10000 ms
    And key k1 was executed 1 time

  Scenario: The caller retries after the node has restarted
    When c1 books with key k1 through node-1
    And 12 ms pass
    And node-1 is killed
    And node-1 restarts
    And node-1 is offered revision 1
    And c2 books with key k1 through node-1
    Then c2 is refused with outcome-unknown within 1000 ms
    And key k1 was executed 1 time

  Scenario: The response to the claim write is lost
    Given the Object API mode is responses-lost
    When c1 books with key k1 through node-1
    And 500 ms pass
    And the Object API mode is up
    Then c1 receives its complete response within 5000 ms
    And key k1 was executed 1 time

  Scenario: The claim write takes effect after it has timed out
    Given the Object API mode is writes-delayed
    When c1 books with key k1 through node-1
    And 1200 ms pass
    And the Object API mode is up
    And 5000 ms pass
    And c2 books with key k1 through node-2
    And 10000 ms pass
    Then key k1 was executed at most once

  Scenario: The Object API is down when the claim is written
    Given the Object API mode is down
    When c1 books with key k1 through node-1
    Then c1 is refused with store-unavailable within 100 ms
    And key k1 was executed 0 times
    When c2 reads through node-1
    Then c2 receives its complete response within 1000 ms

  Scenario: The Object API becomes unavailable while the booking is executed
    When c1 books with key k1 through node-1
    And 15 ms pass
    And the Object API mode is down
    Then c1 receives its complete response within 1000 ms
    When 5000 ms pass
    And the Object API mode is up
    And 1000 ms pass
    And c2 books with key k1 through node-2
    Then c2 receives its complete response within 1000 ms
    And c2 receives the same response as c1
    And key k1 was executed 1 time

  Scenario: A node is frozen between the claim and the send and resumes after all deadlines
    When node-1 freezes just before it sends to an upstream
    And c1 books with key k1 through node-1
    And 100 ms pass
    And c2 books with key k1 through node-2
    Then c2 is refused with outcome-unknown within 10000 ms
    When 120000 ms pass
    And node-1 resumes
    And 5000 ms pass
    And c3 books with key k1 through node-3
    And 5000 ms pass
    Then key k1 was executed at most once

  Scenario: A node is frozen during an outage of the Object API
    When c1 books with key k1 through node-1
    And 12 ms pass
    And node-1 freezes
    And the Object API mode is down
    And 3000 ms pass
    And node-1 resumes
    And the Object API mode is up
    And 3000 ms pass
    And c2 books with key k1 through node-2
    Then c2 receives its complete response within 5000 ms
    And key k1 was executed 1 time
