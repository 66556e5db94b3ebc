Feature: Trouble with the platform's store
  An outage takes nobody's programs away, loses nothing, and makes no refusal untrue.

  Background:
    Given 3 hosts and 2 engines
    And client account "desk" with a budget of 100000 tokens
    And program "p" of "desk" opened at entry-1
    When call 0 of "p" asks the model "first" at entry-2

  Scenario Outline: The store is away for <seconds> seconds
    When the store goes away
    And <seconds> seconds pass
    And the store comes back
    And call 1 of "p" asks the model "second" at entry-3
    Then call 1 of "p" is answered
    And nobody was held dead
    And every promise holds

    Examples:
      | seconds |
      | 1       |
      | 60      |
      | 3600    |

  Scenario: A submission during an outage is refused as not run
    When the store goes away
    And 3 seconds pass
    And call 1 of "p" begins to ask the model "second" at entry-2
    And 3 seconds pass
    And program "q" of "desk" is opened at entry-2 in vain
    And the store comes back
    Then call 1 of "p" is answered
    And every promise holds

  Scenario: The store is slow, at 2 seconds a call
    When the store takes 2 seconds a call
    And call 1 of "p" asks the model "second" at entry-3
    And call 2 of "p" submits "nav" at entry-2
    Then call 2 of "p" is answered
    And "nav" took effect 1 times
    And every promise holds

  Scenario: Answers of writes are lost after they took effect
    When the store loses the answers of the next 4 writes
    And call 1 of "p" submits "nav" at entry-3
    Then call 1 of "p" is answered
    And "nav" took effect 1 times
    And every promise holds

  Scenario: The store's rate limit is reached
    When the store allows 4 writes a second
    And call 1 of "p" submits "nav" at entry-3
    And call 2 of "p" asks the model "second" at entry-2
    Then call 2 of "p" is answered
    And every promise holds

  Scenario: The owner dies during an outage
    When the store goes away
    And entry-1 is killed
    And 60 seconds pass
    And the store comes back
    And call 1 of "p" asks the model "second" at entry-3
    Then call 1 of "p" is answered
    And every promise holds

  Scenario: A program that can't be recorded is refused at once, and the next is refused too
    When the store goes away
    And program "q" of "desk" is opened at entry-2 in vain
    And 3 seconds pass
    Then program "r" of "desk" is refused at entry-2 at once with store_unavailable
    When the store comes back
    And 4 seconds pass
    And program "s" of "desk" is opened at entry-2
    And call 0 of "s" asks the model "first" at entry-3
    Then call 0 of "s" is answered
