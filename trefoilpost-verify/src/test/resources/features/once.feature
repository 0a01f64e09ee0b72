Feature: A request with a key runs at most once, wherever and however often it is sent

  @known-red
  Scenario: Keys are sent to all entries at once
    Given a running fleet
    When 6 callers send requests with keys until 60 keys are through
    Then no key ran more than once
    And every key that was only ever refused has not run
    And every answer to a key is its own
    And at least 55 keys were answered

  Scenario: An entry is killed
    Given 3 entries and 4 workers in pool pricing with floor 1
    When 6 callers send requests with keys
    And 40 more keys are through
    And entry 2 is killed
    And 80 more keys are through
    Then no key ran more than once
    And every key that was only ever refused has not run
    And every answer to a key is its own
    And a new key is answered at every running entry

  Scenario: An entry is frozen and thawed
    Given 3 entries and 4 workers in pool pricing with floor 1
    When 6 callers send requests with keys
    And 40 more keys are through
    And entry 2 is frozen
    And 6 seconds pass
    And entry 2 is thawed
    And 80 more keys are through
    Then no key ran more than once
    And every key that was only ever refused has not run
    And every answer to a key is its own
    And a new key is answered at every running entry

  Scenario: The store is down for a while
    Given 3 entries and 4 workers in pool pricing with floor 1
    When 6 callers send requests with keys
    And 40 more keys are through
    And the store is down
    And 20 more keys are through
    And the store is back
    And 40 more keys are through
    Then no key ran more than once
    And every key that was only ever refused has not run
    And every answer to a key is its own
    And a new key is answered at every running entry

  Scenario: The store loses answers to writes and is slow
    Given a running fleet
    When 6 callers send requests with keys
    And the store loses 30 % of the answers to writes
    And 40 more keys are through
    And the store is back
    And the store answers 300 ms late
    And 20 more keys are through
    And the store is back
    Then no key ran more than once
    And every key that was only ever refused has not run
    And every answer to a key is its own
    And a new key is answered at every running entry

  @long
  Scenario: Everything at once
    Given 6 entries and 8 workers in pool pricing with floor 1
    When 6 callers send requests with keys
    And the store loses 20 % of the answers to writes
    And 40 more keys are through
    And entry 2 is frozen
    And entry 4 is killed
    And 60 more keys are through
    And the store is down
    And 20 more keys are through
    And entry 2 is thawed
    And the store is back
    And 80 more keys are through
    Then no key ran more than once
    And every key that was only ever refused has not run
    And every answer to a key is its own
    And a new key is answered at every running entry
