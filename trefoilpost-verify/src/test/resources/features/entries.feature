Feature: Entries come and go at any time, and calls go on

  Scenario: An entry is killed and replaced at new addresses while the store is down
    Given 3 entries and 4 workers in pool pricing with floor 1
    And 4 callers send requests that may be repeated
    When the store is down
    And entry 2 is killed
    And callers have got 50 more answers
    And a new entry starts at new addresses in its place
    And callers have got 50 more answers
    And the store is back
    Then every running entry serves the whole pool
    And callers have got 50 more answers
    And every caller of the entries 1, 3 got the worker's whole answer to its own request
    And every caller got one truthful verdict or a broken connection

  Scenario: An entry is told to stop under load
    Given 2 entries and 4 workers in pool pricing with floor 1
    And 4 callers send requests that may be repeated
    When entry 2 is stopped gracefully
    And callers have got 50 more answers
    Then every caller of the entries 1 got the worker's whole answer to its own request
    And every caller whose connection broke has not had its request run
    And every caller got one truthful verdict or a broken connection
