Feature: Accepted jobs end, and no task runs twice, whatever is lost

  Scenario: Jobs run to their end
    Given 2 gates and 3 agents whose tasks run 200 ms
    When 6 jobs of 3 tasks are handed in
    Then all jobs are completed
    And no promise about runs is broken

  Scenario: The seat holder dies while tasks run
    Given 3 gates and 3 agents whose tasks run 1500 ms
    When 6 jobs of 3 tasks are handed in
    And 4 tasks are running
    And the seat holder dies
    Then all jobs are completed
    And no task was started twice
    And no promise about runs is broken

  Scenario: The seat holder is restarted on its instance
    Given another gate takes the seat only after 60000 ms
    And 2 gates and 2 agents whose tasks run 1500 ms
    When 4 jobs of 3 tasks are handed in
    And 4 tasks are running
    And the seat holder dies and starts again at its address
    Then all jobs are completed
    And no task was started twice
    And no promise about runs is broken

  Scenario: Two seat holders die one after the other
    Given 3 gates and 3 agents whose tasks run 2500 ms
    When 4 jobs of 3 tasks are handed in
    And 4 tasks are running
    And the seat holder dies
    And another gate leads
    And the seat holder dies
    Then all jobs are completed
    And no task was started twice
    And no promise about runs is broken

  Scenario: A seat holder that leaves hands over at once
    Given 2 gates and 2 agents whose tasks run 800 ms
    When 4 jobs of 2 tasks are handed in
    And 3 tasks are running
    And the seat holder leaves
    Then all jobs are completed
    And no task was started twice

  Scenario: An agent is restarted while its tasks run
    Given 2 gates and 2 agents whose tasks run 1200 ms
    When 4 jobs of 2 tasks are handed in
    And 4 tasks are running
    And each agent is restarted
    Then all jobs are completed
    And no task was started twice
    And no promise about runs is broken

  Scenario: A worker comes back under the id that it had
    Given 2 gates and 2 agents whose tasks run 800 ms
    When 4 jobs of 2 tasks are handed in
    And 4 tasks are running
    And a worker restarts under its id
    Then all jobs are completed
    And no promise about runs is broken

  Scenario: An instance is lost with its worker
    Given 2 gates and 3 agents whose tasks run 600 ms
    When 6 jobs of 2 tasks are handed in
    And 4 tasks are running
    And an instance is lost
    Then all jobs are completed
    And no promise about runs is broken

  Scenario: A worker is cut off from its agent until its leases have run out
    Given 2 gates and 3 agents whose tasks run 4000 ms
    When 6 jobs of 2 tasks are handed in
    And 12 tasks are running
    And a worker gives no answer
    Then all jobs are completed
    And no promise about runs is broken

  Scenario: All leases of a worker run out while no gate holds the seat
    Given another gate takes the seat only after 4000 ms
    And 2 gates and 3 agents whose tasks run 4000 ms
    When 6 jobs of 2 tasks are handed in
    And 12 tasks are running
    And a worker gives no answer
    And the seat holder dies
    Then all jobs are completed
    And no promise about runs is broken

  Scenario: Starts get no answer and are carried out late
    Given 2 gates and 2 agents whose tasks run 300 ms
    And the next 2 starts of each worker are carried out 1500 ms late
    When 4 jobs of 2 tasks are handed in
    Then all jobs are completed
    And no promise about runs is broken

  Scenario: Answers to starts are lost
    Given 2 gates and 2 agents whose tasks run 300 ms
    And the next 3 starts of each worker are not answered
    When 4 jobs of 2 tasks are handed in
    Then all jobs are completed
    And no task was started twice

  Scenario: The store loses answers to the seat holder's commits
    Given 2 gates and 2 agents whose tasks run 300 ms
    And the store loses the next 6 answers to the seat holder
    When 6 jobs of 2 tasks are handed in to the other gate
    Then all jobs are completed
    And no task was started twice
    And no promise about runs is broken

  Scenario: The store carries out the seat holder's commits late
    Given 2 gates and 2 agents whose tasks run 300 ms
    And the store carries out the next 4 writes of the seat holder late
    When 6 jobs of 2 tasks are handed in to the other gate
    Then all jobs are completed
    And no task was started twice
    And no promise about runs is broken

  Scenario: The store forgets its history
    Given 2 gates and 2 agents whose tasks run 300 ms
    When 3 jobs of 2 tasks are handed in
    And the store forgets its history
    And 3 jobs of 2 tasks are handed in
    Then all jobs are completed
    And no task was started twice

  Scenario: The seat holder is cut off from the store and another gate takes over
    Given 2 gates and 2 agents whose tasks run 1500 ms
    When 4 jobs of 2 tasks are handed in
    And 4 tasks are running
    And the seat holder is cut off from the store
    And another gate leads
    And 2 jobs of 2 tasks are handed in to the other gate
    And the first seat holder reaches the store again
    Then all jobs are completed
    And no task was started twice
    And no promise about runs is broken

  Scenario: An agent is cut off with the seat holder from the store and the other gates
    Given 2 gates and 0 agents whose tasks run 8000 ms
    And an agent that reaches the seat holder only
    When 1 jobs of 3 tasks are handed in
    And 3 tasks are running
    And an agent that reaches the other gate only joins
    And the seat holder is cut off from the store
    And another gate leads
    Then each task is started a second time
    And no promise about runs is broken

  Scenario: A cancelled job stops and stays cancelled over a takeover
    Given 2 gates and 2 agents whose tasks run 20000 ms
    When 3 jobs of 2 tasks are handed in
    And 4 tasks are running
    And all jobs are cancelled
    And the seat holder dies
    Then all jobs are cancelled for their callers
    And nothing runs in the end

  Scenario: A gang whose member is lost starts again as a whole
    Given 2 gates and 3 agents whose tasks run 900 ms
    When a gang of 3 tasks is handed in
    And 3 tasks are running
    And a worker restarts under its id
    Then all jobs are completed
    And all members were started equally often
    And no promise about runs is broken

  Scenario: A task that fails everywhere fails its job after its attempts
    Given 2 gates and 2 agents whose tasks run 100 ms
    And everything fails on all workers
    When a gang of 1 tasks is handed in
    Then the jobs are shown as failed
    And no task was started more than 3 times

  Scenario: Old jobs are forgotten and do not come back
    Given ended jobs are kept for 300 ms
    And 2 gates and 2 agents whose tasks run 100 ms
    When 4 jobs of 2 tasks are handed in and run to their end
    Then the store forgets all of their rows
    When the seat holder dies
    And another gate leads
    Then no task was started twice

  Scenario: Records without their job are removed by the next holder
    Given the rows of a job of which only the end and the records are left
    When another holder starts from the rows
    Then it removes them and starts nothing

  Scenario: Hand-ins with one id are one job
    Given 2 gates and 1 agents whose tasks run 100 ms
    When one job is handed in at each gate at once, and again after its end
    Then all jobs are completed
    And no task was started twice

  Scenario: A hand-in while the store is down is refused
    Given 2 gates and 1 agents whose tasks run 100 ms
    And the store is down for all gates
    Then a hand-in is refused and can be repeated later
    And nothing runs in the end

  Scenario: A task that no worker can hold is refused at once
    Given 1 gates and 1 agents whose tasks run 100 ms
    When a job asks for 64 accelerators for one task
    Then it is refused as impossible and not stored

  Scenario: Random histories of faults keep every promise
    Then 400 random histories of holders, agents, workers and orders keep every promise

  Scenario Outline: A holder dies between the two parts of a large commit
    Given the rows tell that the only task of a job <tells>, and not how the job ended
    When another holder starts from the rows
    Then it commits that the job is <fate> and starts nothing

    Examples:
      | tells                        | fate      |
      | is done                      | completed |
      | has used all of its attempts | failed    |

  Scenario: A worker that leaves gets nothing new, and finishes what it runs
    Given 2 gates and 2 agents whose tasks run 900 ms
    When 2 jobs of 2 tasks are handed in
    And 4 tasks are running
    And the worker that runs them says that it leaves
    And 2 jobs of 3 tasks are handed in
    Then all jobs are completed
    And no task was started twice
    And that worker started nothing more

  Scenario: Occurrences run on time, none early, and the job ends with the last
    Given a job that runs 3 times every 1000 ms from 500 ms on
    When its holder is replaced after 1200 ms
    Then an occurrence starts at 500, 1500 and 2500 ms, within 100 ms
    And the job is completed with the last
