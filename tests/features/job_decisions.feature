Feature: Decisions of the job engine, each under the load that it answers

  Scenario: Small tasks leave whole workers for large ones
    Given workers with 8, 8 and 5 free accelerators
    When 2 tasks of 2 accelerators are placed
    Then both go to the worker with 5 free accelerators

  Scenario: A gang is placed as a whole or not at all
    Given workers with 8, 8 and 5 free accelerators
    When a gang of 3 tasks of 8 accelerators is placed
    Then there is no placement

  Scenario: A gang that wants one rack gets the fullest rack that holds it
    Given racks with 16, 10 and 24 free accelerators
    When a gang of 2 tasks of 5 accelerators on one rack is placed
    Then both are on the rack with 10 free accelerators

  Scenario: Work waits for the rack of its data before it goes elsewhere
    Given racks with 0, 8 and 8 free accelerators
    When a task whose data lies on the first rack is placed
    Then there is no placement
    But there is one when it may leave the rack

  Scenario: Doubted workers come last
    Given workers with 8, 8 and 5 free accelerators
    And the third worker is doubted
    When 1 tasks of 2 accelerators are placed
    Then it does not go to the third worker

  Scenario: Making room throws the least work away
    Given two full workers, one with 9 s old work and one with checkpointed work
    When room for 8 accelerators is made
    Then the checkpointed work is stopped and the other goes on

  Scenario: Victims that are not needed go on
    Given a worker with eight runs of one accelerator, each older than the one before
    When room for 3 accelerators is made
    Then the 3 youngest are stopped

  Scenario: Guaranteed work is handed out first, and work that can't earn any more last
    Given work that waits: late without hope, urgent, guaranteed and old
    Then it is handed out as guaranteed, urgent, old, late

  Scenario: A worker that fails everything is doubted, one failure is not enough
    When a worker fails 2 tasks in a row
    Then it is doubted, and tried again after 7000 ms
    When a worker fails 1 task and then does one
    Then it is trusted

  Scenario Outline: A run is moved only when it is known to stand still
    When a run is at <percent> %, made progress at <progress> ms and was last heard of at <news> ms
    Then it <stands> still

    Examples:
      | percent | progress | news | stands         |
      | 30      | 1000     | 5000 | stands         |
      | 30      | 1000     | 4000 | does not stand |
      | 0       | 0        | 5000 | stands         |
      | 100     | 1000     | 9000 | does not stand |

  Scenario: A lease is renewed only in contact with the seat holder
    Given a lease of 6000 ms that may be renewed for 5000 ms without contact
    Then it is renewed 4900 ms after the contact and not after 5100 ms
    And it is not renewed when the instance was suspended for 9000 ms
    And all leases have run out before the seat holder's bound

  Scenario: The seat is taken only from a holder that is silent while the store answers
    Given a seat that is taken after 2000 ms
    Then it is not taken while commits come every 500 ms
    And it is not taken in an outage of the store of 6000 ms, nor at once after it
    And it is taken 2000 ms after the last commit
    And a seat that was given up is taken at once

  Scenario: A wide urgent step stops no more than its objective needs
    Given 12 workers that are full of batch work for 20000 ms
    When an urgent job of 18 tasks of 8 accelerators and 4000 ms comes beyond the guarantee
    Then it is done within 1.5 times 6 waves of 4000 ms
    And at most 5 workers were cleared for it

  Scenario: Guaranteed work begins within its bound though the workers are full
    Given 12 workers that are full of batch work for 20000 ms
    When 3 urgent jobs of 2 tasks of 8 accelerators and 4000 ms come within the guarantee
    Then each has begun after at most 2700 ms
    And at most 6 workers were cleared for it

  Scenario: An urgent job that needs its room at once gets it by stops
    Given 12 workers that are full of batch work for 20000 ms
    When an urgent job of 2 tasks of 8 accelerators and 4000 ms comes beyond the guarantee
    Then it is done within 1.5 times 1 waves of 4000 ms
    And at most 2 workers were cleared for it

  Scenario: Mixed work never goes over the capacity of a worker
    Given 12 workers
    When 300 jobs of mixed sizes come within 60000 ms
    Then no worker was over its capacity
    And all of the jobs are done in the end
