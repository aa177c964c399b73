Feature: Plans keep guarantees and gangs whole

  Scenario: Random events keep every invariant of the plan
    Then 300 random histories of a pool keep its invariants

  Scenario: Guarantees are placed as well as an exhaustive search places them
    Then on 300 small pools every layout is sound, and it misses at most 5 that exist

  Scenario: A borrowed guarantee is taken back with the least work lost
    Given a pool of 2 workers with a guarantee of 8 for "ana"
    When "bo" fills the pool with preemptible jobs of 4 accelerators
    And "ana" submits a job of 8 accelerators
    Then only jobs on one worker are stopped
    When the stopped jobs have ended
    Then the job of "ana" runs

  Scenario: Work that can't be preempted never enters the guarantee of another
    Given a pool of 2 workers with a guarantee of 8 for "ana"
    When "bo" submits 4 fixed jobs of 4 accelerators
    Then 2 jobs of "bo" run
    And the plan keeps its invariants

  Scenario: A job that can never run is refused at once
    Given a pool of 2 workers with a guarantee of 8 for "ana"
    When "bo" submits a job of 2 whole workers
    Then it is refused for good

  Scenario: A large job that waits gets a reservation that small jobs don't enter
    Given a pool of 2 workers without guarantees
    When "bo" submits 4 fixed jobs of 4 accelerators
    And "ana" submits a job of 8 accelerators
    And 2 minutes pass
    And one job of "bo" ends and "bo" submits another
    And one job of "bo" on the reserved worker ends
    Then the job of "ana" runs before the new job of "bo"

  Scenario: Guarantees that a loss has spread are packed together for a large job
    Given a pool of 6 workers with three guarantees of 8 for "ana"
    When only one worker of each rack is left
    And all workers are back
    And "bo" submits a job of 2 whole workers
    And 2 minutes pass
    Then the job of "bo" runs

  Scenario: A waiting job gets the guarantee that a new layout gives its workspace
    Given workers come one by one to a pool that promises more than it has
    And "ana" submits a job of 2 whole workers before the layout is repaired
    When 2 minutes pass
    Then the job of "ana" runs in the guarantee

  Scenario: Nothing is borrowed that its owner takes back in the same round
    Given a pool of 1 workers with a guarantee of 8 for "ana"
    When "ana" submits a job of 8 accelerators
    And "bo" and then "ana" submit preemptible jobs
    And the first job of "ana" ends
    Then the preemptible job of "ana" runs and nothing was stopped

  Scenario: A worker that fails everything is told from a job that fails everywhere
    Given a pool of 4 workers without guarantees
    When different jobs fail 3 times in a row on one worker and succeed elsewhere
    Then that worker is quarantined
    When 2 minutes pass
    Then that worker is on probation
    When a job fails on 3 good workers
    Then the job is failed

  Scenario: Gangs keep their promises under random faults
    Then 500 random histories of gangs under faults keep their promises
