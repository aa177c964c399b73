Feature: Reported outcomes stay true when real processes and connections fail

  Scenario: A gate is killed during a fit with a key and the caller retries at the other gate
    Given a system of 2 gates and 2 instances
    When a fit with a key that was sent through gate 1 is running
    And gate 1 is killed
    And the same fit is sent again through gate 2
    Then the last caller receives "done" with its own answer
    And the request ran 1 time

  Scenario: An agent is killed after the backend server received a fit with a key
    Given a system of 2 gates and 2 instances
    When a fit with a key that was sent through gate 1 is running
    And the agent that runs it is killed and restarted
    Then the first caller receives "unknown"
    When the same fit is sent again through gate 2
    Then the last caller receives "unknown"
    And the request ran 1 time

  Scenario: An agent is killed before the backend server receives a fit with a key
    Given a system of 1 gates and 1 instances
    When the only agent is paused
    And a fit with a key is sent
    And the only agent is killed and restarted
    Then the first caller receives "unknown"
    And the request ran 0 times

  Scenario: An agent is killed during a pitch check, which is idempotent
    Given a system of 2 gates and 3 instances
    When a pitch check is running
    And the agent that runs it is killed and restarted
    Then the first caller receives "done" with its own answer

  Scenario: An agent is paused for longer than the link timeout
    Given a system of 1 gates and 1 instances
    When the only agent is paused
    And a fit without a key is sent
    And the only agent is resumed after 2500 ms
    Then the first caller receives "done" with its own answer
    And the request ran 1 time

  Scenario: Connections between gate and agents stay open but deliver no more data
    Given a system of 1 gates and 2 instances behind relays
    When 10 pitch checks of 1500 ms are in progress
    And 10 fits of 1500 ms are in progress
    And all open connections stop forwarding data
    Then every caller receives "done" with its own answer
    And no request that must run at most once ran twice

  Scenario: The table service is unavailable while requests are sent and a gate starts
    Given a system of 2 gates and 2 instances
    When the table service becomes unavailable
    And 20 pitch checks of 10 ms are in progress
    Then every caller receives "done" with its own answer
    When a fit with a key is sent
    Then the last caller receives "unknown"
    When a gate is started while the table service is unavailable
    Then the new gate has the newest tables
    When the table service becomes available again
    And the same fit is sent again through gate 2
    Then the last caller receives "done" with its own answer
    And the request ran 1 time

  Scenario: The table service applies writes but its answers are lost
    Given a system of 2 gates and 4 instances
    When the next 3 answers of the table service are lost
    And a fit with a key is sent
    Then the last caller receives "done" with its own answer
    When the next 3 answers of the table service are lost
    And a sweep is sent
    Then the last caller receives "done" with its own answer
    When the next 3 answers of the table service are lost
    Then an edit of the routes is accepted once

  Scenario: The table service is slow
    Given a system of 2 gates and 2 instances
    When the table service answers each call after 400 ms
    And 20 fits of 10 ms are in progress
    Then every caller receives "done" with its own answer
    And no request that must run at most once ran twice

  Scenario: Operators edit the same table version concurrently
    Given a system of 2 gates and 1 instances
    When 12 operators edit the same version of the routes
    Then exactly 1 edit is accepted and the others are answered 412
    And that edit is in effect in all gates and agents within 3000 ms

  Scenario: A backend server enters the state leaving under load
    Given a system of 2 gates and 3 instances
    When callers send pitch checks and fits for 5 seconds
    And a backend server enters the state leaving after 1 second
    Then every caller receives "done" with its own answer
    And the leaving backend server got no new work after 3000 ms
    And no run was interrupted

  Scenario: A gate and an agent shut down gracefully under load
    Given a system of 2 gates and 3 instances
    When callers send pitch checks and fits for 4 seconds
    And gate 1 and an agent are shut down after 1 second
    Then every caller receives "done" with its own answer
    And both exited with code 0
    And no run was interrupted
    And no request that must run at most once ran twice

  Scenario: The agent of a gang member is killed
    Given a system of 1 gates and 6 instances
    When a sweep of 2000 ms is running
    And the agent of one gang member is killed and restarted
    Then the first caller receives "done" with its own answer
    And no accelerator was used by two tasks at once
    And only one attempt completed and no member is still running

  Scenario: An agent is paused until the leases of its tasks have expired
    Given a system of 1 gates and 6 instances
    When a sweep of 4000 ms is running
    And the agent of one gang member is paused for 8000 ms
    Then the first caller receives "done" with its own answer
    And no accelerator was used by two tasks at once
    And only one attempt completed and no member is still running

  Scenario: The owner of a pool is killed while a gang that must not run twice is running
    Given a system of 2 gates and 4 instances
    When a certificate of 12000 ms is running
    And the owner of the pool is killed
    Then a caller that looks up the result at the other gate receives "done"
    And the gang ran 1 time

  Scenario: A worker that fails all its tasks is quarantined
    Given a system of 1 gates and 6 instances
    When the worker of instance 1 fails all its tasks
    And 24 studies of 100 ms are sent
    Then every caller receives "done" with its own answer
    And the worker of instance 1 is quarantined

  Scenario: Many requests are cancelled at once
    Given a system of 2 gates and 1 instances
    When 40 fits of 800 ms are in progress
    And all of them are cancelled
    Then every caller receives one of "not_run, cancelled, done"
    And no request that was reported as not_run ran
    And at least 20 of them were reported as not_run

  Scenario: A gate is killed while the table service is unavailable
    Given a system of 2 gates and 3 instances
    When a fit with a key that was sent through gate 1 is running
    And the table service becomes unavailable
    And gate 1 is killed
    And the same fit is sent again through gate 2
    Then the last caller receives "unknown"
    When the table service becomes available again
    And the same fit is sent again through gate 2
    Then the last caller receives "done" with its own answer
    And the request ran 1 time
