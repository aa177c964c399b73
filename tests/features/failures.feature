Feature: Promises hold under failure, over real processes

  Scenario: A gate is killed during a keyed fit and the caller asks the other gate
    Given a system of 2 gates and 2 instances
    When a fit with a key runs through gate 1
    And gate 1 is killed
    And the same fit is sent again through gate 2
    Then the last caller is told "done" with its own answer
    And the request ran 1 time

  Scenario: An agent is killed after the backend server got a keyed fit
    Given a system of 2 gates and 2 instances
    When a fit with a key runs through gate 1
    And the agent that has it is killed and started again
    Then the first caller is told "unknown"
    When the same fit is sent again through gate 2
    Then the last caller is told "unknown"
    And the request ran 1 time

  Scenario: An agent is killed before the backend server got a keyed fit
    Given a system of 1 gates and 1 instances
    When the only agent is paused
    And a fit with a key is sent
    And the only agent is killed and started again
    Then the first caller is told "unknown"
    And the request ran 0 times

  Scenario: An agent is killed during a pitch check, which may run again
    Given a system of 2 gates and 3 instances
    When a pitch check runs
    And the agent that has it is killed and started again
    Then the first caller is told "done" with its own answer

  Scenario: An agent is paused for longer than its link lasts
    Given a system of 1 gates and 1 instances
    When the only agent is paused
    And a fit without a key is sent
    And the only agent goes on after 2500 ms
    Then the first caller is told "done" with its own answer
    And the request ran 1 time

  Scenario: Connections between gate and agents go silent for good
    Given a system of 1 gates and 2 instances behind relays
    When 10 pitch checks of 1500 ms are under way
    And 10 fits of 1500 ms are under way
    And all connections go silent
    Then every caller is told "done" with its own answer
    And no request that must run once ran twice

  Scenario: The table service is down for long
    Given a system of 2 gates and 2 instances
    When the table service goes down
    And 20 pitch checks of 10 ms are under way
    Then every caller is told "done" with its own answer
    When a fit with a key is sent
    Then the last caller is told "unknown"
    When a gate is started while the table service is down
    Then the new gate has the newest tables
    When the table service comes back
    And the same fit is sent again through gate 2
    Then the last caller is told "done" with its own answer
    And the request ran 1 time

  Scenario: The table service takes writes and loses its answers
    Given a system of 2 gates and 4 instances
    When the table service loses its next 3 answers
    And a fit with a key is sent
    Then the last caller is told "done" with its own answer
    When the table service loses its next 3 answers
    And a sweep is sent
    Then the last caller is told "done" with its own answer
    When the table service loses its next 3 answers
    Then an edit of the routes is accepted once

  Scenario: The table service is slow
    Given a system of 2 gates and 2 instances
    When the table service takes 400 ms for each answer
    And 20 fits of 10 ms are under way
    Then every caller is told "done" with its own answer
    And no request that must run once ran twice

  Scenario: Operators race each other's edits
    Given a system of 2 gates and 1 instances
    When 12 operators send an edit made on the same version
    Then exactly 1 of them is accepted and the others are told 412
    And that edit is in force everywhere within 3000 ms

  Scenario: A backend server leaves under load
    Given a system of 2 gates and 3 instances
    When callers send pitch checks and fits for 5 seconds
    And a backend server starts to leave after 1 second
    Then every caller is told "done" with its own answer
    And the leaving backend server got no new work after 3000 ms
    And no run was cut

  Scenario: A gate and an agent stop gracefully under load
    Given a system of 2 gates and 3 instances
    When callers send pitch checks and fits for 4 seconds
    And gate 1 and an agent are asked to stop after 1 second
    Then every caller is told "done" with its own answer
    And both stopped with code 0
    And no run was cut
    And no request that must run once ran twice

  Scenario: A member of a gang is lost
    Given a system of 1 gates and 6 instances
    When a sweep of 2000 ms runs
    And the agent of one member is killed and started again
    Then the first caller is told "done" with its own answer
    And no accelerator was shared
    And every attempt but the last was stopped everywhere

  Scenario: An agent is paused past the leases of its tasks
    Given a system of 1 gates and 6 instances
    When a sweep of 4000 ms runs
    And the agent of one member is paused for 8000 ms
    Then the first caller is told "done" with its own answer
    And no accelerator was shared
    And every attempt but the last was stopped everywhere

  Scenario: The owner of a pool is killed while a gang runs that must not run twice
    Given a system of 2 gates and 4 instances
    When a certificate of 12000 ms runs
    And the owner of the pool is killed
    Then a caller that asks the other gate is told "done"
    And the gang ran 1 time

  Scenario: A worker fails everything
    Given a system of 1 gates and 6 instances
    When the worker of instance 1 fails everything
    And 24 studies of 100 ms are sent
    Then every caller is told "done" with its own answer
    And the worker of instance 1 is quarantined

  Scenario: Cancellations come in a wave
    Given a system of 2 gates and 1 instances
    When 40 fits of 800 ms are under way
    And all of them are cancelled
    Then every caller is told one of "not_run, cancelled, done"
    And nothing that was told not_run ran
    And at least 20 of them were not run

  Scenario: The table service is down and a gate is killed
    Given a system of 2 gates and 3 instances
    When a fit with a key runs through gate 1
    And the table service goes down
    And gate 1 is killed
    And the same fit is sent again through gate 2
    Then the last caller is told "unknown"
    When the table service comes back
    And the same fit is sent again through gate 2
    Then the last caller is told "done" with its own answer
    And the request ran 1 time
