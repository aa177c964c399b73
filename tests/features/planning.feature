Feature: Pool planning and gang coordination

  Scenario: The invariants of the plan hold under random events
    Then the invariants of a pool hold in 300 random histories

  Scenario: The planner finds nearly every layout that an exhaustive search finds
    Then on 300 small pools every layout is valid and at most 5 existing layouts are missed

  Scenario: A borrowed guarantee is reclaimed with the least work lost
    Given a pool of 2 workers with a guarantee of 8 for "ana"
    When "bo" fills the pool with preemptible jobs of 4 accelerators
    And "ana" submits a job of 8 accelerators
    Then only jobs on one worker are stopped
    When the stopped jobs have ended
    Then the job of "ana" runs

  Scenario: Non-preemptible work never runs in the guarantee of another workspace
    Given a pool of 2 workers with a guarantee of 8 for "ana"
    When "bo" submits 4 non-preemptible jobs of 4 accelerators
    Then 2 jobs of "bo" run
    And the invariants of the plan hold

  Scenario: A job that can never be placed is rejected immediately
    Given a pool of 2 workers with a guarantee of 8 for "ana"
    When "bo" submits a job of 2 whole workers
    Then it is rejected permanently

  Scenario: A starving large job gets a reservation that small jobs can't use
    Given a pool of 2 workers without guarantees
    When "bo" submits 4 non-preemptible jobs of 4 accelerators
    And "ana" submits a job of 8 accelerators
    And 2 minutes pass
    And one job of "bo" ends and "bo" submits another
    And one job of "bo" on the reserved worker ends
    Then the job of "ana" runs before the new job of "bo"

  Scenario: Guarantees fragmented by worker loss are compacted for a large job
    Given a pool of 6 workers with three guarantees of 8 for "ana"
    When only one worker of each rack remains
    And all workers have rejoined
    And "bo" submits a job of 2 whole workers
    And 2 minutes pass
    Then the job of "bo" runs

  Scenario: A waiting job runs in the guarantee that a layout repair binds
    Given workers join one by one a pool whose guarantees exceed its capacity
    And "ana" submits a job of 2 whole workers before the layout is repaired
    When 2 minutes pass
    Then the job of "ana" runs in the guarantee

  Scenario: A guarantee that is reclaimed in the same round is not borrowed
    Given a pool of 1 workers with a guarantee of 8 for "ana"
    When "ana" submits a job of 8 accelerators
    And "bo" and then "ana" submit preemptible jobs
    And the first job of "ana" ends
    Then the preemptible job of "ana" runs and no job was stopped

  Scenario: A faulty worker is distinguished from a failing job
    Given a pool of 4 workers without guarantees
    When different jobs fail 3 times in a row on one worker and succeed elsewhere
    Then that worker is quarantined
    When 2 minutes pass
    Then that worker is on probation
    When a job fails on 3 healthy workers
    Then the job is failed

  Scenario: The invariants of gangs hold under random faults
    Then the invariants of gangs hold in 500 random histories with faults
