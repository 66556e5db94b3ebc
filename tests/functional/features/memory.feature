Feature: Engine memory of ended programs is released
  Also when the owner died before it sent the release.

  Background:
    Given 3 hosts and 2 engines
    And client account "desk" with a budget of 100000 tokens
    And program "p" of "desk" opened at entry-1
    When call 0 of "p" asks the model "first" at entry-2

  Scenario: Memory of an ended program is released within seconds
    When entry-1 is killed
    And call 1 of "p" asks the model "second" at entry-2
    And program "p" is ended at entry-2
    And an engine holds memory for "p" of a dead owner
    And 7 seconds pass
    Then no engine holds memory for "p"

  Scenario: A running program keeps its memory while its owner is replaced
    When an engine holds memory for "p" of a dead owner
    And entry-1 is killed
    And 20 seconds pass
    Then an engine still holds memory for "p"
