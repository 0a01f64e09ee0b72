Feature: A caller's request goes to a worker of its pool, and what can't run is refused

  Background:
    Given a running fleet

  Scenario: A request is served
    When a caller sends a request
    Then the caller gets the worker's whole answer to this request

  Scenario Outline: A request with the header <header> set to <value> is refused and harms nobody
    When a caller sends a request with the header "<header>" set to "<value>", to be refused as <reason>
    Then the caller is told "not-run" with status <status> and the reason <reason>
    And the counter of <reason> has grown by 1
    And the request is in no worker's run log
    When a caller sends a request
    Then the caller gets the worker's whole answer to this request

    Examples:
      | header                      | value     | status | reason        |
      | Trefoilpost-Deadline-Millis | 0         | 504    | deadline-past |
      | Trefoilpost-Deadline-Millis | -5        | 504    | deadline-past |
      | Trefoilpost-Deadline-Millis | soon      | 400    | malformed     |
      | Trefoilpost-Repeatable      | perhaps   | 400    | malformed     |
      | Trefoilpost-Class           | first     | 400    | malformed     |
      | Trefoilpost-Team            | not/a/team | 400   | malformed     |
      | Idempotency-Key             | two words | 400    | malformed     |

  Scenario: A request to an unknown pool is refused
    When a caller sends a request to the pool "ferries", to be refused as unknown-pool
    Then the caller is told "not-run" with status 404 and the reason unknown-pool
    And the counter of unknown-pool has grown by 1

  Scenario: A body over the pool's limit is refused
    When a caller sends a body of 65537 bytes, to be refused as body-too-large
    Then the caller is told "not-run" with status 413 and the reason body-too-large
    And the counter of body-too-large has grown by 1
    And the request is in no worker's run log
    When a caller sends a request
    Then the caller gets the worker's whole answer to this request

  Scenario: An operator with a wrong token is refused
    When an operator with a wrong token asks for the status
    Then the operator is told status 401 and the type wrong-token
    And the operators' counter of wrong-token has grown by 1

  Scenario: Every fault of a configuration is listed, and the one in force stays
    When an operator puts a configuration with 3 faults
    Then the operator is told status 422 and the type invalid-configuration
    And 3 faults are listed, each with what is allowed
    And the configuration in force is the same as before

  Scenario: An intent for an unknown rack is refused
    When an operator proposes "{'kind':'drain','rack':'nowhere'}"
    Then the operator's intent is refused and names "nowhere"

  Scenario Outline: A <kind> frame of a peer is rejected and harms nobody
    When somebody sends a <kind> frame to the peers' listener of entry 1
    Then the connection is closed
    And the peers' counter of <kind> has grown by 1
    When a caller sends a request
    Then the caller gets the worker's whole answer to this request

    Examples:
      | kind      |
      | oversized |
      | malformed |
