Feature: A client account's budget is never exceeded
  Neither concurrency nor host failures nor looping programs spend more than the account has.

  Scenario: Many programs on all hosts race for the last tokens
    Given 4 hosts and 2 engines
    And client account "desk" with a budget of 3000 tokens
    When 40 programs of "desk" ask the model until they are refused
    Then every guarantee holds
    And at most 10 percent of the budget of "desk" is left

  Scenario: A host dies while it holds a grant
    Given 3 hosts and 2 engines
    And client account "desk" with a budget of 2000 tokens
    And program "p" of "desk" opened at entry-1
    When call 0 of "p" asks the model "first" at entry-1
    And entry-1 is killed
    And 12 seconds pass
    And 20 programs of "desk" ask the model until they are refused
    Then every guarantee holds

  Scenario: A budget is reduced while it is in use
    Given 3 hosts and 2 engines
    And client account "desk" with a budget of 100000 tokens
    And program "p" of "desk" opened at entry-1
    When call 0 of "p" asks the model "first" at entry-1
    And the budget of "desk" is set to 40 tokens
    And call 1 of "p" asks the model "second" at entry-1
    Then call 1 of "p" is refused as not_run with budget_exceeded

  Scenario: A program that loops is stopped
    Given 2 hosts and 2 engines
    And client account "desk" with "max_repeated_calls" set to 3
    And program "p" of "desk" opened at entry-1
    When call 0 of "p" looks "same" up at entry-1
    And call 1 of "p" looks "same" up at entry-1
    And call 2 of "p" looks "same" up at entry-1
    And call 3 of "p" looks "same" up at entry-1
    Then call 3 of "p" is refused as not_run with loop_detected

  Scenario: A program reaches its call limit
    Given 2 hosts and 2 engines
    And client account "desk" with "max_calls" set to 1
    And program "p" of "desk" opened at entry-1
    When call 0 of "p" asks the model "first" at entry-1
    And call 1 of "p" asks the model "second" at entry-1
    Then call 1 of "p" is refused as not_run with program_limit

  Scenario: Streams break repeatedly, and tokens of failed attempts are charged
    Given 3 hosts and 2 engines
    And client account "desk" with a budget of 3000 tokens
    When endpoint engine-1 breaks every stream after 3 tokens
    And endpoint engine-2 breaks every stream after 4 tokens
    And 30 programs of "desk" ask the model until the budget refuses them
    Then every guarantee holds
