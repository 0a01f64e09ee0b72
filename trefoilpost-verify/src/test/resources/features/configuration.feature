Feature: An accepted configuration is in force everywhere within seconds and never reverts

  Scenario: A change is in force at every entry within 7 s
    Given a running fleet
    When an operator of entry 2 puts the floor 2
    Then the operator's change is accepted
    And the change is in force at every entry within 7 s
    And no entry ever went back to an older version

  Scenario: Two operators change the same version at once
    Given a running fleet
    When operators of entries 1 and 2 put the floors 0 and 3 over the same version at once
    Then one change is accepted and the other operator is told of the conflict
    And the change is in force at every entry within 7 s
    And no entry ever went back to an older version

  Scenario: The store loses the answers to a change
    Given a running fleet
    When the store loses 60 % of the answers to writes
    And an operator of entry 1 puts the floor 2
    And the store is back
    Then what the operator was told is true
    And every entry has the same version in force
    And no entry ever went back to an older version

  Scenario: An entry that was frozen during a change takes it on
    Given a running fleet
    When entry 3 is frozen
    And an operator of entry 1 puts the floor 1
    And an operator of entry 2 puts the floor 3
    And 4 seconds pass
    And entry 3 is thawed
    Then the operator's change is accepted
    And entry 3 has the change in force within 7 s
    And no entry ever went back to an older version

  Scenario: The store is brought back to an older state
    Given 3 entries and 4 workers in pool pricing with floor 1
    When the state of the store is kept
    And an operator of entry 1 puts the floor 2
    Then the change is in force at every entry within 7 s
    When the kept state of the store is brought back
    Then an entry raises an alarm about the configuration
    And every entry still has the change in force
    When an operator of entry 2 puts the floor 3
    Then the operator's change is accepted
    And the change is in force at every entry within 7 s
    And no entry ever went back to an older version

  Scenario: An entry that starts in an outage takes no requests until it has the configuration
    Given 2 entries and 4 workers in pool pricing with floor 1
    When the store is down
    And a new entry starts at new addresses in its place
    Then entry 3 is not ready
    And a caller of entry 3 is told "not-run" for the reason not-ready
    When the store is back
    Then every running entry serves the whole pool
    And every entry has the same version in force
