Feature: Decisions of the job engine on placement, preemption and takeover

  Scenario: Small tasks leave whole workers for large ones
    Given workers with 8, 8 and 5 free accelerators
    When 2 tasks of 2 accelerators are placed
    Then both are placed on the worker with 5 free accelerators

  Scenario: A gang is placed as a whole or not at all
    Given workers with 8, 8 and 5 free accelerators
    When a gang of 3 tasks of 8 accelerators is placed
    Then there is no placement

  Scenario: A gang for one rack is placed on the fullest rack that fits it
    Given racks with 16, 10 and 24 free accelerators
    When a gang of 2 tasks of 5 accelerators on one rack is placed
    Then both are on the rack with 10 free accelerators

  Scenario: A task waits for its preferred rack before it is placed elsewhere
    Given racks with 0, 8 and 8 free accelerators
    When a task that prefers the first rack is placed
    Then there is no placement
    But it can be placed when other racks are allowed

  Scenario: Unhealthy workers are chosen last
    Given workers with 8, 8 and 5 free accelerators
    And the third worker is unhealthy
    When 1 tasks of 2 accelerators are placed
    Then it is not placed on the third worker

  Scenario: Preemption loses the least work
    Given two full workers, one with a run of 9 s and one with a checkpointed run
    When 8 accelerators are freed by preemption
    Then the checkpointed run is stopped and the other continues

  Scenario: Runs that need not be preempted continue
    Given a worker with eight runs of one accelerator, each older than the one before
    When 3 accelerators are freed by preemption
    Then the 3 youngest are stopped

  # Guards against preemption plans that stop needless runs, or miss what a full search finds.
  Scenario: Preemption plans cost no more than a search by the cost of single runs
    Then the preemption plans of 500 random loads fit, need each of their victims, and cost no more than a search by victim

  # Guards against clearing a worker of many runs of medium cost where another loses less in all.
  Scenario: Preemption clears the worker on which the least work is lost
    Given a worker with one run of 500 and seven of 10 core-ms, and one with eight of 400 core-ms
    When 8 accelerators are freed by preemption
    Then the runs of the first worker are stopped

  # Guards against searches that read all runs of each gang for each worker on which it runs.
  Scenario: A preemption plan reads the runs of wide gangs a few times only
    Given 68 full workers with gangs of 32 small runs
    When a preemption plan is made for 32 tasks that take whole workers
    Then each run was read at most 10 times on average

  Scenario: Guaranteed work is placed first, and work past its late limit last
    Given waiting work: past its late limit, urgent, guaranteed and old
    Then it is placed in the order guaranteed, urgent, old, late

  Scenario: A worker is unhealthy after two consecutive failures, not after one
    When a worker fails 2 tasks in a row
    Then it is unhealthy, and has no penalty after 7000 ms
    When a worker fails 1 task and then completes one
    Then it is healthy

  Scenario Outline: A run is stalled only if it was reported without progress
    When a run is at <percent> %, made progress at <progress> ms and was last reported at <reported> ms
    Then it <stalled> stalled

    Examples:
      | percent | progress | reported | stalled |
      | 30      | 1000     | 5000     | is      |
      | 30      | 1000     | 4000     | is not  |
      | 0       | 0        | 5000     | is      |
      | 100     | 1000     | 9000     | is not  |

  Scenario: A lease is renewed only in contact with the leader
    Given a lease of 6000 ms that may be renewed for 5000 ms without contact
    Then it is renewed 4900 ms after the contact and not after 5100 ms
    And it is not renewed when the instance was suspended for 9000 ms
    And all leases have expired before the leader's contact timeout

  Scenario: A gate takes over only if the leader stops committing while the store answers
    Given a takeover time of 2000 ms
    Then no gate takes over while the leader commits every 500 ms
    And no gate takes over during a store outage of 6000 ms, nor right after it
    And a gate takes over 2000 ms after the last commit
    And a gate takes over at once when the leader has stepped down

  # Guards against a leader on the weakest instance, which plans and commits too slowly.
  Scenario: More capable gates try to take over first
    Given a takeover time of 2000 ms
    Then a gate with 100 % of the capacity of another comes 0 ms after it
    And a gate with 50 % of the capacity of another comes 150 ms after it
    And a gate with 24 % of the capacity of another comes 228 ms after it

  Scenario: A wide urgent step preempts no more than its objective needs
    Given 12 workers that are full of batch work for 20000 ms
    When an urgent job of 18 tasks of 8 accelerators and 4000 ms comes beyond the guarantee
    Then it is done within 1.5 times 6 waves of 4000 ms
    And at most 5 workers were cleared for it

  Scenario: Guaranteed work starts in time when the workers are full
    Given 12 workers that are full of batch work for 20000 ms
    When 3 urgent jobs of 2 tasks of 8 accelerators and 4000 ms come within the guarantee
    Then each has begun after at most 2700 ms
    And at most 6 workers were cleared for it

  Scenario: An urgent job that needs capacity at once gets it by preemption
    Given 12 workers that are full of batch work for 20000 ms
    When an urgent job of 2 tasks of 8 accelerators and 4000 ms comes beyond the guarantee
    Then it is done within 1.5 times 1 waves of 4000 ms
    And at most 2 workers were cleared for it

  Scenario: Mixed work never exceeds the capacity of a worker
    Given 12 workers
    When 300 jobs of mixed sizes come within 60000 ms
    Then no worker was over its capacity
    And all of the jobs are done in the end

  # Guards against an overload in which planning takes so long that the leader loses its lead.
  Scenario: A leader keeps its lead while much work waits for full workers
    Given a leader that checks 2000 workers per ms, and 68 workers full of small batch runs
    When 15 batch jobs of 30 tasks and 60 urgent jobs of 5 tasks of 8 accelerators wait for 10000 ms
    Then the leader commits at least every 2000 ms

  # Guards against passes that search for each of many equal tasks of which none fits.
  Scenario: A step that does not fit costs a pass the same for one task as for many
    Then planning for 500 waiting batch tasks on 68 full workers takes as many worker checks as for 1

  # Guards against blocked processes that leave no trace in logs and metrics.
  Scenario: A blocked event loop is measured and logged
    Given a loop delay monitor with a tick of 50 ms
    When ticks come after 50, 50 and 900 ms
    Then the histogram of loop delays holds 3 values up to 850 ms
    And the loop was logged as blocked once, for 850 ms

  # Guards against a leader that plans after each report and has no time left for anything else.
  Scenario: Planning leaves the leader most of its time
    Given a planning pass that takes 400 ms, requested every 10 ms
    Then passes take at most a quarter of 64000 ms
    And a pass is due 100 ms after the last one without a request

  # Guards against guaranteed work that waits since a suspended pass seemed to be a long one.
  Scenario: A process that is suspended in a planning pass plans soon after it
    Given a planning pass that takes 5000 ms, requested every 10 ms
    Then the next pass is due at most 1200 ms after it

  # Guards against runs that are stopped for work that can no longer finish in time.
  Scenario: Work that can't meet its late limit preempts nothing
    Given 12 workers that are full of batch work for 20000 ms
    And another batch job of 20000 ms waits for all 12 workers
    When an urgent job of 1 tasks of 8 accelerators and 1000 ms comes beyond the guarantee
    Then no run was preempted
