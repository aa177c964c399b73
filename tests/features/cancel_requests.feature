Feature: Cancelling many requests

  Scenario: Requests waiting for a slot are cancelled without starting
    Given a backend server of 8 slots with 12 requests
    When all 12 requests are cancelled within 120 ms, running ones first
    Then 8 requests have started
    And 4 requests are refused as cancelled

  Scenario: A slot freed by a cancellation is reused
    Given a backend server of 8 slots with 12 requests
    When one running request is cancelled
    Then 8 requests have started
    And 9 requests have started after 300 ms
