Feature: Every caller receives the whole answer to its own request and never another's

  Background:
    Given 3 nodes, 3 engines and 3 plain servers

  Scenario Outline: An engine breaks the stream with <fault>
    Given the next attempts at every-engine suffer <fault>
    When c1 asks node-1 for 50 tokens
    And c2 asks node-1 for 50 tokens
    Then c1 has its whole answer within 20000 ms
    And c2 has its whole answer within 20000 ms

    Examples:
      | fault        |
      | cross        |
      | cut          |
      | reset-before |
      | reset-after  |
      | silent       |
      | cross,cut    |

  Scenario Outline: A plain server breaks a read with <fault>
    Given the next attempts at every-plain-server suffer <fault>
    When c1 reads through node-1
    Then c1 has its whole answer within 20000 ms

    Examples:
      | fault        |
      | cross        |
      | reset-before |
      | reset-after  |
      | decline      |

  Scenario: A silent plain server delays a read but does not lose it
    Given the next attempts at pond-desk-1 suffer silent
    And the next attempts at pond-desk-2 suffer silent
    When c1 reads through node-1
    Then c1 has its whole answer within 8000 ms

  Scenario: A crossed answer to a booking is not handed on
    Given the next attempts at every-plain-server suffer cross
    When c1 books with key k1 through node-1
    Then c1 is refused with outcome-unknown within 2000 ms
    And key k1 ran 1 time

  Scenario: A caller reconnects twice and misses nothing
    When c1 asks node-1 for 200 tokens
    And 1000 ms pass
    And c1 reconnects through node-1
    And 500 ms pass
    And c1 reconnects through node-1
    Then c1 has its whole answer within 10000 ms
    And at most 0 tokens were computed again

  Scenario: A caller reconnects through another node
    When c1 asks node-1 for 200 tokens
    And 1000 ms pass
    And c1 reconnects through node-2
    Then c1 has its whole answer within 10000 ms

  Scenario: A caller reconnects after its stream has ended
    When c1 asks node-1 for 50 tokens
    And 500 ms pass
    And c1 loses its connection
    And 3000 ms pass
    And c1 reconnects through node-1
    Then c1 has its whole answer within 100 ms
