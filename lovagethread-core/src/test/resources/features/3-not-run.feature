Feature: A call refused as "not run" was not executed

  Background:
    Given 3 nodes, 1 engines and 2 plain servers

  Scenario: Connections are refused
    When pond-desk-1 crashes without notice
    And pond-desk-2 crashes without notice
    And c1 books with key k1 through node-1
    Then c1 is refused with no-upstream within 10000 ms
    And key k1 was executed 0 times

  Scenario: All servers report that they did not execute the call
    Given the next attempts at every-plain-server fail with decline,decline,decline,decline
    When c1 books with key k1 through node-1
    Then c1 is refused with no-upstream within 10000 ms
    And key k1 was executed 0 times

  Scenario: One server declines the booking and another executes it
    Given the next attempts at pond-desk-1 fail with decline
    When c1 books with key k1 through node-1
    And c2 books with key k2 through node-1
    Then c1 receives its complete response within 2000 ms
    And c2 receives its complete response within 2000 ms

  Scenario Outline: The outcome is unknown after the connection fails with <fault>
    Given the next attempts at every-plain-server fail with <fault>
    When c1 books with key k1 through node-1
    Then c1 is refused with outcome-unknown within 90000 ms

    Examples:
      | fault        |
      | reset-before |
      | reset-after  |
      | silent       |

  Scenario: A refused booking is executed when it is retried
    Given the next attempts at every-plain-server fail with decline,decline
    When c1 books with key k1 through node-1
    Then c1 is refused with no-upstream within 10000 ms
    When c2 books with key k1 through node-2
    Then c2 receives its complete response within 3000 ms
    And key k1 was executed 1 time
