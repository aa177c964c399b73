Feature: Accepted jobs end and no task runs twice, whatever fails

  Scenario: Jobs run to their end
    Given 2 gates and 3 agents whose tasks run 200 ms
    When 6 jobs of 3 tasks are submitted
    Then all jobs are completed
    And no invariant of runs is violated

  Scenario: The leader crashes while tasks run
    Given 3 gates and 3 agents whose tasks run 1500 ms
    When 6 jobs of 3 tasks are submitted
    And 4 tasks are running
    And the leader crashes
    Then all jobs are completed
    And no task was started twice
    And no invariant of runs is violated

  Scenario: The leader is restarted on its instance
    Given another gate takes over only after 60000 ms
    And 2 gates and 2 agents whose tasks run 1500 ms
    When 4 jobs of 3 tasks are submitted
    And 4 tasks are running
    And the leader crashes and restarts at its address
    Then all jobs are completed
    And no task was started twice
    And no invariant of runs is violated

  Scenario: Two leaders crash one after the other
    Given 3 gates and 3 agents whose tasks run 2500 ms
    When 4 jobs of 3 tasks are submitted
    And 4 tasks are running
    And the leader crashes
    And another gate leads
    And the leader crashes
    Then all jobs are completed
    And no task was started twice
    And no invariant of runs is violated

  # Guards against agents that keep links to the first gates they heard of, and to no other.
  Scenario: A gate that joined last takes over from the leader
    Given another gate takes over only after 60000 ms
    And 14 gates and 3 agents whose tasks run 300 ms
    And a gate joins that takes over after 400 ms
    When 3 jobs of 2 tasks are submitted
    And the leader crashes
    And 3 jobs of 2 tasks are submitted
    Then all jobs are completed
    And no invariant of runs is violated

  # Guards against recovery that depends on a gate or an agent that lived through the fault.
  Scenario Outline: Many processes are killed at the same moment
    Given <gates> gates and <agents> agents whose tasks run 800 ms
    When 6 jobs of 8 tasks are submitted
    And 8 tasks are running
    And <killed> are killed and restarted <times>
    Then a waiting task is started, and the time to it is recorded
    And all jobs are completed
    And no task was started twice
    And no invariant of runs is violated

    Examples:
      | gates | agents | killed                          | times          |
      | 5     | 4      | all gates                       | once           |
      | 5     | 4      | all gates and half of the agents | once           |
      | 5     | 4      | all gates and half of the agents | twice in a row |
      | 5     | 4      | all gates and all agents        | twice in a row |

  Scenario: A leader that shuts down is replaced at once
    Given 2 gates and 2 agents whose tasks run 800 ms
    When 4 jobs of 2 tasks are submitted
    And 3 tasks are running
    And the leader shuts down
    Then all jobs are completed
    And no task was started twice

  Scenario: An agent is restarted while its tasks run
    Given 2 gates and 2 agents whose tasks run 1200 ms
    When 4 jobs of 2 tasks are submitted
    And 4 tasks are running
    And each agent is restarted
    Then all jobs are completed
    And no task was started twice
    And no invariant of runs is violated

  Scenario: A worker restarts with the same id
    Given 2 gates and 2 agents whose tasks run 800 ms
    When 4 jobs of 2 tasks are submitted
    And 4 tasks are running
    And a worker restarts with the same id
    Then all jobs are completed
    And no invariant of runs is violated

  Scenario: An instance is lost with its worker
    Given 2 gates and 3 agents whose tasks run 600 ms
    When 6 jobs of 2 tasks are submitted
    And 4 tasks are running
    And an instance is lost
    Then all jobs are completed
    And no invariant of runs is violated

  Scenario: A worker does not respond to its agent until its leases have expired
    Given 2 gates and 3 agents whose tasks run 4000 ms
    When 6 jobs of 2 tasks are submitted
    And 12 tasks are running
    And a worker stops responding
    Then all jobs are completed
    And no invariant of runs is violated

  Scenario: All leases of a worker expire while there is no leader
    Given another gate takes over only after 4000 ms
    And 2 gates and 3 agents whose tasks run 4000 ms
    When 6 jobs of 2 tasks are submitted
    And 12 tasks are running
    And a worker stops responding
    And the leader crashes
    Then all jobs are completed
    And no invariant of runs is violated

  # Guards against work that waits for the leases of a worker whose end its agent has seen.
  Scenario: A worker leaves while there is no leader
    Given agents count as lost only after 120000 ms without contact
    And another gate takes over only after 8000 ms
    And 2 gates and 3 agents whose tasks run 10000 ms
    When 6 jobs of 2 tasks are submitted
    And 12 tasks are running
    And the leader crashes
    And a draining worker terminates, and its agent with it
    Then all jobs are completed
    And no invariant of runs is violated

  Scenario: Starts get no answer and are executed late
    Given 2 gates and 2 agents whose tasks run 300 ms
    And the next 2 starts of each worker are executed 1500 ms late
    When 4 jobs of 2 tasks are submitted
    Then all jobs are completed
    And no invariant of runs is violated

  Scenario: Answers to starts are lost
    Given 2 gates and 2 agents whose tasks run 300 ms
    And the next 3 starts of each worker are not answered
    When 4 jobs of 2 tasks are submitted
    Then all jobs are completed
    And no task was started twice

  Scenario: The store loses answers to the leader's commits
    Given 2 gates and 2 agents whose tasks run 300 ms
    And the store loses the next 6 answers to the leader
    When 6 jobs of 2 tasks are submitted to the other gate
    Then all jobs are completed
    And no task was started twice
    And no invariant of runs is violated

  Scenario: The store executes the leader's commits late
    Given 2 gates and 2 agents whose tasks run 300 ms
    And the store executes the next 4 writes of the leader late
    When 6 jobs of 2 tasks are submitted to the other gate
    Then all jobs are completed
    And no task was started twice
    And no invariant of runs is violated

  Scenario: The store discards its change history
    Given 2 gates and 2 agents whose tasks run 300 ms
    When 3 jobs of 2 tasks are submitted
    And the store discards its change history
    And 3 jobs of 2 tasks are submitted
    Then all jobs are completed
    And no task was started twice

  Scenario: The leader loses the store and another gate takes over
    Given 2 gates and 2 agents whose tasks run 1500 ms
    When 4 jobs of 2 tasks are submitted
    And 4 tasks are running
    And the leader loses its connection to the store
    And another gate leads
    And 2 jobs of 2 tasks are submitted to the other gate
    And the first leader reaches the store again
    Then all jobs are completed
    And no task was started twice
    And no invariant of runs is violated

  Scenario: An agent reaches only a leader that has lost the store
    Given 2 gates and 0 agents whose tasks run 8000 ms
    And an agent that reaches only the leader
    When 1 jobs of 3 tasks are submitted
    And 3 tasks are running
    And an agent joins that reaches only the other gate
    And the leader loses its connection to the store
    And another gate leads
    Then each task is started a second time
    And no invariant of runs is violated

  Scenario: A cancelled job stops and stays cancelled after a takeover
    Given 2 gates and 2 agents whose tasks run 20000 ms
    When 3 jobs of 2 tasks are submitted
    And 4 tasks are running
    And all jobs are cancelled
    And the leader crashes
    Then all jobs are reported as cancelled
    And no task is running in the end

  Scenario: A gang that loses a member is restarted as a whole
    Given 2 gates and 3 agents whose tasks run 900 ms
    When a gang of 3 tasks is submitted
    And 3 tasks are running
    And a worker restarts with the same id
    Then all jobs are completed
    And all members were started equally often
    And no invariant of runs is violated

  Scenario: A task that fails on every worker fails its job after its last attempt
    Given 2 gates and 2 agents whose tasks run 100 ms
    And every run fails on all workers
    When a gang of 1 tasks is submitted
    Then the jobs are reported as failed
    And no task was started more than 3 times

  Scenario: Ended jobs are removed after their retention and are not restarted
    Given ended jobs are kept for 300 ms
    And 2 gates and 2 agents whose tasks run 100 ms
    When 4 jobs of 2 tasks are submitted and run to their end
    Then all of their rows are removed from the store
    When the leader crashes
    And another gate leads
    Then no task was started twice

  Scenario: A new leader removes records without a job
    Given a job of which only the result and the task records are stored
    When a new leader loads the rows
    Then it removes these rows and starts no task

  Scenario: Submissions with the same id are one job
    Given 2 gates and 1 agents whose tasks run 100 ms
    When one job is submitted to each gate at the same time, and again after its end
    Then all jobs are completed
    And no task was started twice

  Scenario: A submission is refused while the store is down
    Given 2 gates and 1 agents whose tasks run 100 ms
    And the store is down for all gates
    Then a submission is refused and succeeds when repeated later
    And no task is running in the end

  Scenario: A task that fits on no worker is rejected at once
    Given 1 gates and 1 agents whose tasks run 100 ms
    When a job requests 64 accelerators for one task
    Then it is rejected as invalid and not stored

  # Guards against gates that judge submissions by the few agents that are linked to them.
  Scenario: Each gate knows the largest workers, whichever agents are linked to it
    Given 6 gates and 1 agents whose tasks run 100 ms
    When a job requests 64 accelerators for one task
    Then each gate rejects it as invalid and does not store it

  Scenario: Random histories of faults violate no invariant
    Then 400 random histories of leaders, agents, workers and orders violate no invariant

  Scenario Outline: A leader crashes between two batches of a large commit
    Given the stored rows show that the only task of a job <task>, but not the job result
    When a new leader loads the rows
    Then it commits that the job is <result> and starts no task

    Examples:
      | task                         | result    |
      | is done                      | completed |
      | has used all of its attempts | failed    |
      | has crashed 3 workers        | failed    |

  Scenario: A draining worker gets no new tasks and finishes its running tasks
    Given 2 gates and 2 agents whose tasks run 900 ms
    When 2 jobs of 2 tasks are submitted
    And 4 tasks are running
    And the worker that runs them starts draining
    And 2 jobs of 3 tasks are submitted
    Then all jobs are completed
    And no task was started twice
    And that worker started no more tasks

  Scenario: Occurrences run on time, never early, and the job ends with the last
    Given a job that runs 3 times every 1000 ms from 500 ms on
    When its leader is replaced after 1200 ms
    Then an occurrence starts at 500, 1500 and 2500 ms, within 100 ms
    And the job is completed with the last occurrence

  # Guards against preemption of long runs that a new leader takes for young ones.
  Scenario: A new leader knows how much work of adopted runs a stop would lose
    Given a stored job with a run of 10000 ms on a worker
    When a new leader finds that run at 50 % and the worker is lost
    Then the leader counts 50 % of the run as lost work

  # Guards against runs that a new leader stops before it knows their age and the free workers.
  Scenario: A new leader preempts no run before the workers have reported
    Given a stored job with a run of 10000 ms on a worker
    When a new leader gets guaranteed work for the whole worker, which reports that run
    Then the run is not stopped at once
    But it is stopped 700 ms after the takeover

  # Guards against guaranteed work that waits for the contact timeout of another worker.
  Scenario: A new leader preempts a gang of which one member was reported
    Given a stored gang of 2 runs of 10000 ms on 2 workers
    When a new leader gets guaranteed work for the whole worker, which reports that run
    Then the run is not stopped at once
    But the gang is stopped 700 ms after the takeover

  # Guards against unreported members of a gang that count as free to stop.
  Scenario: All members of a gang count as old as the oldest
    Given a gang of 2 placed tasks of which one was reported
    Then a stop of the gang 5000 ms later loses 5000 ms of work of both

  # Guards against estimates that collapse as a new leader sees only the ends of runs.
  Scenario: A run that a new leader sees only at its end does not change estimates
    Given a stored job with a run of 10000 ms on a worker
    When a new leader finds that run done, and a run of the same queue at 50 % is lost
    Then the leader counts 50 % of the run as lost work

  # Guards against an overloaded leader that commits until its grace period is over.
  Scenario: A leader with many rows to commit releases its leadership at once
    Given a leader that has the results of 2000 jobs to commit
    When it releases its leadership
    Then it commits no more than 1 more times
