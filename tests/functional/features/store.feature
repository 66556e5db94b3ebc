Feature: Outages of the platform's store
  An outage moves no programs, loses no data, and makes no refusal wrong.

  Background:
    Given 3 hosts and 2 engines
    And client account "desk" with a budget of 100000 tokens
    And program "p" of "desk" opened at entry-1
    When call 0 of "p" asks the model "first" at entry-2

  Scenario Outline: The store is unavailable for <seconds> seconds
    When the store becomes unavailable
    And <seconds> seconds pass
    And the store becomes available again
    And call 1 of "p" asks the model "second" at entry-3
    Then call 1 of "p" is answered
    And no host was declared dead
    And every guarantee holds

    Examples:
      | seconds |
      | 1       |
      | 60      |
      | 3600    |

  Scenario: A submission during an outage is refused as not run
    When the store becomes unavailable
    And 3 seconds pass
    And call 1 of "p" begins to ask the model "second" at entry-2
    And 3 seconds pass
    And opening program "q" of "desk" at entry-2 times out
    And the store becomes available again
    Then call 1 of "p" is answered
    And every guarantee holds

  Scenario: The store is slow, at 2 seconds a call
    When the store takes 2 seconds a call
    And call 1 of "p" asks the model "second" at entry-3
    And call 2 of "p" submits "nav" at entry-2
    Then call 2 of "p" is answered
    And "nav" took effect 1 times
    And every guarantee holds

  Scenario: Answers of writes are lost after they took effect
    When the store loses the answers of the next 4 writes
    And call 1 of "p" submits "nav" at entry-3
    Then call 1 of "p" is answered
    And "nav" took effect 1 times
    And every guarantee holds

  Scenario: The store's rate limit is reached
    When the store allows 4 writes a second
    And call 1 of "p" submits "nav" at entry-3
    And call 2 of "p" asks the model "second" at entry-2
    Then call 2 of "p" is answered
    And every guarantee holds

  Scenario: The owner dies during an outage
    When the store becomes unavailable
    And entry-1 is killed
    And 60 seconds pass
    And the store becomes available again
    And call 1 of "p" asks the model "second" at entry-3
    Then call 1 of "p" is answered
    And every guarantee holds

  Scenario: A program that can't be recorded is refused at once, and the next is refused too
    When the store becomes unavailable
    And opening program "q" of "desk" at entry-2 times out
    And 3 seconds pass
    Then program "r" of "desk" is refused at entry-2 at once with store_unavailable
    When the store becomes available again
    And 4 seconds pass
    And program "s" of "desk" is opened at entry-2
    And call 0 of "s" asks the model "first" at entry-3
    Then call 0 of "s" is answered
