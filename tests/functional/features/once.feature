Feature: A call that may not be repeated runs at most once
  The refusal tells the caller whether the call may have run.

  Background:
    Given 2 hosts and 2 engines
    And client account "desk" with a budget of 100000 tokens
    And program "p" of "desk" opened at entry-1

  Scenario: The service acts and dies before it answers
    When endpoint submissions-1 has the fault "die after acting"
    And endpoint submissions-2 has the fault "die after acting"
    And call 0 of "p" submits "nav" at entry-2
    Then call 0 of "p" is refused as may_have_run with outcome_unknown
    And "nav" took effect 1 times
    When endpoint submissions-1 has no fault
    And endpoint submissions-2 has no fault
    And call 0 of "p" submits "nav" at entry-2
    Then call 0 of "p" is refused as may_have_run with outcome_unknown
    And "nav" took effect 1 times

  Scenario: The service hangs
    When endpoint submissions-1 has the fault "hang"
    And endpoint submissions-2 has the fault "hang"
    And call 0 of "p" submits "nav" at entry-2
    Then call 0 of "p" is refused as may_have_run with outcome_unknown

  Scenario: The service refuses connections, so nothing ran and another endpoint is tried
    When endpoint submissions-1 has the fault "down"
    And call 0 of "p" submits "nav" at entry-2
    Then call 0 of "p" is answered
    And "nav" took effect 1 times

  Scenario: No endpoint can be reached, so the call is refused as not run
    When endpoint submissions-1 has the fault "down"
    And endpoint submissions-2 has the fault "down"
    And call 0 of "p" submits "nav" at entry-2
    Then call 0 of "p" is refused as not_run with endpoint_failed
    And "nav" took effect 0 times
    When endpoint submissions-1 has no fault
    And endpoint submissions-2 has no fault
    And 5 seconds pass
    And call 0 of "p" submits "nav" at entry-2
    Then call 0 of "p" is answered
    And "nav" took effect 1 times
    And every guarantee holds

  Scenario: A lookup is repeated at another endpoint
    When endpoint prices-1 has the fault "die before acting"
    And call 0 of "p" looks "bond-7" up at entry-2
    Then call 0 of "p" is answered

  Scenario: An engine breaks its stream and the text continues without a gap
    When endpoint engine-1 breaks its next stream after 4 tokens
    And endpoint engine-2 breaks its next stream after 4 tokens
    And call 0 of "p" asks the model "first" at entry-2
    Then call 0 of "p" is answered
    And every guarantee holds
