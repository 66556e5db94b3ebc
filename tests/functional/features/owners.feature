Feature: Programs survive the death of their owner
  A program's calls run in order, its history is neither lost nor mixed with another, and a call
  that may not be repeated runs at most once, whatever happens to the owner.

  Background:
    Given 3 hosts and 2 engines
    And client account "desk" with a budget of 100000 tokens
    And program "p" of "desk" opened at entry-1

  Scenario: The owner dies between two calls
    When call 0 of "p" asks the model "first" at entry-2
    And entry-1 is killed
    And call 1 of "p" asks the model "second" at entry-2
    Then call 1 of "p" is answered
    And at most 10 seconds have passed since entry-1 was killed
    And every guarantee holds
    And the timeline matches the snapshot

  Scenario: The owner dies while an engine streams, and the stream continues elsewhere
    When call 0 of "p" begins to ask the model "first" at entry-2
    And 0.1 seconds pass
    And entry-1 is killed
    Then call 0 of "p" is answered
    And every guarantee holds

  Scenario: The owner dies with the caller connected to it
    When call 0 of "p" begins to ask the model "first" at entry-1
    And 0.1 seconds pass
    And entry-1 is killed
    Then call 0 of "p" lost its connection
    When call 0 of "p" asks the model "first" at entry-3
    Then call 0 of "p" is answered
    And every guarantee holds

  Scenario: The owner dies after a submission was sent, before its outcome is recorded
    When call 0 of "p" begins to submit "nav" at entry-2
    And 0.03 seconds pass
    And entry-1 is killed
    Then call 0 of "p" is refused as may_have_run with outcome_unknown
    When call 1 of "p" asks the model "what now" at entry-3
    Then call 1 of "p" is answered
    And every guarantee holds

  Scenario: The owner dies before the submission's start is durable
    When the store becomes unavailable
    And call 0 of "p" begins to submit "nav" at entry-2
    And 0.5 seconds pass
    And entry-1 is killed
    And the store becomes available again
    Then "nav" took effect 0 times
    When 8 seconds pass
    And call 0 of "p" submits "nav" at entry-3
    Then call 0 of "p" is answered
    And "nav" took effect 1 times
    And every guarantee holds

  Scenario: The owner dies after the answer was recorded
    When call 0 of "p" submits "nav" at entry-2
    And entry-1 is killed
    And call 0 of "p" submits "nav" at entry-3
    Then call 0 of "p" is answered
    And "nav" took effect 1 times
    And every guarantee holds

  Scenario: The owner freezes, its programs are taken over, and it wakes
    When call 0 of "p" asks the model "first" at entry-2
    And entry-1 freezes
    And 12 seconds pass
    And call 1 of "p" asks the model "second" at entry-2
    Then call 1 of "p" is answered
    When entry-1 wakes
    And 3 seconds pass
    And call 2 of "p" asks the model "third" at entry-1
    Then call 2 of "p" is answered
    And every guarantee holds

  Scenario: The owner freezes in the middle of a submission
    When call 0 of "p" begins to submit "nav" at entry-2
    And 0.03 seconds pass
    And entry-1 freezes
    And 12 seconds pass
    And call 0 of "p" submits "nav" at entry-3
    Then call 0 of "p" is refused as may_have_run with outcome_unknown
    When entry-1 wakes
    And 5 seconds pass
    Then every guarantee holds

  Scenario: Owner and successor die, one after the other
    When call 0 of "p" asks the model "first" at entry-2
    And entry-4 starts
    And entry-5 starts
    And 3 seconds pass
    And entry-1 is killed
    And 8 seconds pass
    And call 1 of "p" asks the model "second" at entry-2
    And entry-2 is killed
    And 8 seconds pass
    And entry-3 is killed
    And 8 seconds pass
    And call 2 of "p" asks the model "third" at entry-5
    Then call 2 of "p" is answered
    And every guarantee holds

  Scenario: Histories larger than memory are rebuilt from the journals
    Given program "q" of "desk" opened at entry-1
    When call 0 of "p" asks the model "first" at entry-1
    And call 0 of "q" asks the model "other" at entry-1
    And entry-1 is killed
    And call 1 of "p" asks the model "second" at entry-2
    And call 1 of "q" asks the model "another" at entry-3
    Then call 1 of "q" is answered
    And every guarantee holds
