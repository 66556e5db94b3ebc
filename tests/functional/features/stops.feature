Feature: Planned stops and leaving endpoints
  A planned stop fails no request; a leaving endpoint gets no new work after a few seconds.

  Background:
    Given 3 hosts and 2 engines
    And client account "desk" with a budget of 100000 tokens
    And program "p" of "desk" opened at entry-1

  Scenario: The owner stops while a call runs
    When call 0 of "p" begins to ask the model "first" at entry-1
    And 0.05 seconds pass
    And entry-1 begins a planned stop
    Then call 0 of "p" is answered
    When call 1 of "p" asks the model "second" at entry-1
    Then call 1 of "p" is answered
    When every planned stop has ended
    And call 2 of "p" asks the model "third" at entry-2
    Then call 2 of "p" is answered
    And every guarantee holds
    And the timeline matches the snapshot

  Scenario: Every host is replaced in turn while a program runs
    When entry-1 begins a planned stop
    And call 0 of "p" asks the model "first" at entry-1
    And every planned stop has ended
    And entry-4 starts
    And 3 seconds pass
    And entry-2 begins a planned stop
    And call 1 of "p" asks the model "second" at entry-2
    And every planned stop has ended
    And entry-5 starts
    And 3 seconds pass
    And entry-3 begins a planned stop
    And call 2 of "p" submits "nav" at entry-3
    And every planned stop has ended
    And call 3 of "p" asks the model "third" at entry-5
    Then call 3 of "p" is answered
    And "nav" took effect 1 times
    And every guarantee holds

  Scenario: The host dies in the middle of its planned stop
    Given program "q" of "desk" opened at entry-1
    When call 0 of "p" asks the model "first" at entry-2
    And call 0 of "q" begins to ask the model "long" at entry-2
    And entry-1 begins a planned stop
    And 0.1 seconds pass
    And entry-1 is killed
    Then call 0 of "q" is answered
    When call 1 of "p" asks the model "second" at entry-3
    Then call 1 of "p" is answered
    And every guarantee holds

  Scenario: An engine is listed as leaving
    When call 0 of "p" asks the model "first" at entry-2
    And the platform lists endpoint engine-1 as leaving
    And 2 seconds pass
    Then endpoint engine-1 got no call after that
    And every guarantee holds

  Scenario: An engine reports that it is draining
    When endpoint engine-1 has the fault "draining"
    And call 0 of "p" asks the model "first" at entry-2
    And call 1 of "p" asks the model "second" at entry-2
    Then call 1 of "p" is answered
    And endpoint engine-1 got no call after that
    And every guarantee holds

  Scenario: Two hosts leave at the same time, one killed and one stopped
    Given program "q" of "desk" opened at entry-2
    When call 0 of "p" asks the model "first" at entry-3
    And call 0 of "q" asks the model "other" at entry-3
    And entry-1 is killed
    And entry-2 begins a planned stop
    And every planned stop has ended
    And call 1 of "p" asks the model "second" at entry-3
    And call 1 of "q" asks the model "another" at entry-3
    Then call 1 of "p" is answered
    And call 1 of "q" is answered
    And every guarantee holds

  Scenario: One host is stopped while it still has to take over from another
    Given program "q" of "desk" opened at entry-2
    When call 0 of "p" asks the model "first" at entry-3
    And call 0 of "q" asks the model "other" at entry-3
    And entry-1 is killed
    And 3.6 seconds pass
    And entry-2 begins a planned stop
    And call 1 of "p" asks the model "second" at entry-3
    And every planned stop has ended
    And call 2 of "p" asks the model "third" at entry-3
    And call 1 of "q" asks the model "another" at entry-3
    Then call 1 of "p" is answered
    And call 2 of "p" is answered
    And call 1 of "q" is answered
    And every guarantee holds
