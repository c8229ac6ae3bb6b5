Feature: Every caller receives the complete response to its own request and never another caller's

  Background:
    Given 3 nodes, 3 engines and 3 plain servers

  Scenario Outline: A stream from an engine fails with <fault>
    Given the next attempts at every-engine fail with <fault>
    When c1 sends node-1 a request for 50 tokens
    And c2 sends node-1 a request for 50 tokens
    Then c1 receives its complete response within 20000 ms
    And c2 receives its complete response within 20000 ms

    Examples:
      | fault        |
      | cross        |
      | cut          |
      | reset-before |
      | reset-after  |
      | silent       |
      | cross,cut    |

  Scenario Outline: A read from a plain server fails with <fault>
    Given the next attempts at every-plain-server fail with <fault>
    When c1 reads through node-1
    Then c1 receives its complete response within 20000 ms

    Examples:
      | fault        |
      | cross        |
      | reset-before |
      | reset-after  |
      | decline      |

  Scenario: A read is retried when a plain server does not respond
    Given the next attempts at pond-desk-1 fail with silent
    And the next attempts at pond-desk-2 fail with silent
    When c1 reads through node-1
    Then c1 receives its complete response within 8000 ms

  Scenario: A response to another caller's booking is not forwarded
    Given the next attempts at every-plain-server fail with cross
    When c1 books with key k1 through node-1
    Then c1 is refused with outcome-unknown within 2000 ms
    And key k1 was executed 1 time

  Scenario: A caller reconnects twice and receives every chunk
    When c1 sends node-1 a request for 200 tokens
    And 1000 ms pass
    And c1 reconnects through node-1
    And 500 ms pass
    And c1 reconnects through node-1
    Then c1 receives its complete response within 10000 ms
    And at most 0 tokens were recomputed

  Scenario: A caller reconnects through another node
    When c1 sends node-1 a request for 200 tokens
    And 1000 ms pass
    And c1 reconnects through node-2
    Then c1 receives its complete response within 10000 ms

  Scenario: A caller reconnects after its stream has ended
    When c1 sends node-1 a request for 50 tokens
    And 500 ms pass
    And c1 loses its connection
    And 3000 ms pass
    And c1 reconnects through node-1
    Then c1 receives its complete response within 100 ms
