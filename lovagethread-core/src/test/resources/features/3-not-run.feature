Feature: A refusal saying "not run" is true

  Background:
    Given 3 nodes, 1 engines and 2 plain servers

  Scenario: Connections are refused
    When pond-desk-1 is dead without notice
    And pond-desk-2 is dead without notice
    And c1 books with key k1 through node-1
    Then c1 is refused with no-upstream within 10000 ms
    And key k1 ran 0 times

  Scenario: Servers state that they did nothing
    Given the next attempts at every-plain-server suffer decline,decline,decline,decline
    When c1 books with key k1 through node-1
    Then c1 is refused with no-upstream within 10000 ms
    And key k1 ran 0 times

  Scenario: One server states that it did nothing, and another runs the booking
    Given the next attempts at pond-desk-1 suffer decline
    When c1 books with key k1 through node-1
    And c2 books with key k2 through node-1
    Then c1 has its whole answer within 2000 ms
    And c2 has its whole answer within 2000 ms

  Scenario Outline: The connection ends with <fault>, so nobody can tell
    Given the next attempts at every-plain-server suffer <fault>
    When c1 books with key k1 through node-1
    Then c1 is refused with outcome-unknown within 90000 ms

    Examples:
      | fault        |
      | reset-before |
      | reset-after  |
      | silent       |

  Scenario: A refused booking can be repeated, and then runs
    Given the next attempts at every-plain-server suffer decline,decline
    When c1 books with key k1 through node-1
    Then c1 is refused with no-upstream within 10000 ms
    When c2 books with key k1 through node-2
    Then c2 has its whole answer within 3000 ms
    And key k1 ran 1 time
