Feature: Planned stops are graceful, keep the pool's floor, and lose no request

  Scenario: A drained rack stops with nobody's work cut
    Given 3 entries and 8 workers in pool pricing with floor 4
    And 6 callers send requests that may be repeated
    And 4 requests of 4500 ms are running
    When an operator drains rack 1
    Then the plan ends with every step done
    And every caller got the worker's whole answer to its own request
    And no stop came while a request was running
    And no worker started a request later than 3 s after its cordon
    And at most 4 workers were down at the same time

  Scenario: A drained rack is held until it is released, and then serves again
    Given 3 entries and 8 workers in pool pricing with floor 4
    And 6 callers send requests that may be repeated
    When an operator drains rack 1
    Then the plan ends with every step done
    And 12 seconds pass
    When an operator releases the workers of rack 1 one after the other
    Then every released worker starts requests again
    And the pool has 8 usable workers and no planned stop

  Scenario: A wave over the pool keeps the floor
    Given 3 entries and 8 workers in pool pricing with floor 6
    And 6 callers send requests that may be repeated
    When an operator runs a wave over the pool
    Then the plan ends with every step done
    And every worker was rebooted once
    And every caller got the worker's whole answer to its own request
    And no stop came while a request was running
    And no worker started a request later than 3 s after its cordon
    And at most 2 workers were down at the same time

  Scenario: The entry that carries out a wave is killed
    Given 3 entries and 4 workers in pool pricing with floor 2
    And 6 callers send requests that may be repeated
    When an operator runs a wave over the pool
    And the wave is under way
    And the entry that carries out the plan is killed
    Then the plan ends with every step done
    And every worker was rebooted once
    And every caller of an entry that was not killed got the worker's whole answer to its own request
    And no stop came while a request was running
    And no worker started a request later than 3 s after its cordon
    And at most 2 workers were down at the same time

  @known-red
  Scenario: The entry that carries out a wave is frozen and thawed
    Given 3 entries and 4 workers in pool pricing with floor 2
    And 6 callers of an entry that does not carry out the plan send requests that may be repeated
    When an operator runs a wave over the pool
    And the wave is under way
    And the entry that carries out the plan is frozen for 6 s
    Then the plan ends with every step done
    And every worker was rebooted once
    And every caller got one truthful verdict
    And no stop came while a request was running
    And at most 2 workers were down at the same time

  Scenario: The store is down in the middle of a wave
    Given 3 entries and 4 workers in pool pricing with floor 2
    And 6 callers send requests that may be repeated
    When an operator runs a wave over the pool
    And the wave is under way
    And the store is down
    And 4 seconds pass
    And callers have got 50 more answers
    And the store is back
    Then the plan ends with every step done
    And every worker was rebooted once
    And every caller got one truthful verdict
    And no stop came while a request was running
    And at most 2 workers were down at the same time

  Scenario: The store is down in the middle of a wave, and no caller notices
    Given 3 entries and 4 workers in pool pricing with floor 2
    And 6 callers send requests that may be repeated
    When an operator runs a wave over the pool
    And the wave is under way
    And the store is down
    And 4 seconds pass
    And callers have got 50 more answers
    And the store is back
    Then the plan ends with every step done
    And every worker was rebooted once
    And every caller got the worker's whole answer to its own request
    And no stop came while a request was running
    And at most 2 workers were down at the same time

  @long
  Scenario: The store loses answers to writes during a wave
    Given 3 entries and 4 workers in pool pricing with floor 2
    And 6 callers send requests that may be repeated
    When the store loses 20 % of the answers to writes
    And an operator runs a wave over the pool, trying again when told to
    Then the plan ends with every step done
    And every worker was rebooted once
    And every caller got the worker's whole answer to its own request
    And no stop came while a request was running
    And at most 2 workers were down at the same time

  Scenario: Two operators confirm different plans for one pool at once
    Given 2 entries and 8 workers in pool pricing with floor 4
    When two operators confirm a drain of rack 1 and a drain of rack 2 at once
    Then one of them is told that the plan is confirmed and the other why not
    And the plan ends with every step done
    And at most 4 workers were down at the same time
