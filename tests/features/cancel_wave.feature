Feature: Cancellations in a wave

  Scenario: What waits for a slot is cancelled before it starts
    Given a backend server of 8 slots with 12 requests
    When all 12 are cancelled within 120 ms, those that run first
    Then 8 of them have started
    And 4 of them are refused as cancelled

  Scenario: A slot that a cancellation freed is used again
    Given a backend server of 8 slots with 12 requests
    When 1 of those that run is cancelled
    Then 8 of them have started
    And 9 of them have started 300 ms later
